"""The controller: connects the core to the store, the cloud, peers, workers and users."""
