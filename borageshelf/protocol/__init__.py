"""The gRPC protocol between the processes of the system."""
