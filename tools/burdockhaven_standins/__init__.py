"""Small stand-ins for the engines, plain services and the platform."""
