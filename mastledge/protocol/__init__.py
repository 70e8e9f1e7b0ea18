"""HTTP/1.1 with clients, workers and discovery. It makes no scheduling decisions."""
