"""The almondspand process: settings, supervisor tree, roles."""
