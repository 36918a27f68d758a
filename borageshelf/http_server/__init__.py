"""HTTP and gRPC servers whose connections share one budget a process."""
