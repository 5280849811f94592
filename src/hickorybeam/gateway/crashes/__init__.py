"""Ends of backend servers, and the requests and parts of prompts that are blocked for them."""
