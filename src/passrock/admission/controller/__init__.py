"""Integration of admission with the controller: store, peers, scheduler and submissions."""
