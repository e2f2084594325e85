"""Measures, slopes, stand-ins and the demo."""
