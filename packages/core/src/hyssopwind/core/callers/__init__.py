"""What callers make the daemon hold, and when it refuses or closes."""
