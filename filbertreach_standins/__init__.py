"""Small stand-ins for the platform's services and for backend servers, for tests and the demo."""
