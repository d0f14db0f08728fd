package io.hornbeamfield.net.relay;

/** Size limits and timeouts of a client connection. */
public record InboundLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
    /** Limits that apply until a configuration is loaded. */
    public static final InboundLimits DEFAULT = new InboundLimits(16 * 1024, 4L * 1024 * 1024, 5_000, 30_000);
}
