"""The controller: joins the core to the outside."""
