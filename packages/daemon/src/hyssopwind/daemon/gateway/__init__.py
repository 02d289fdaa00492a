"""The daemon on the platform: caller connections, dispatch and peers."""
