package io.hornbeamfield.net.platform;

/** Thrown when the platform answers a read with an error status. */
public final class PlatformFailure extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final int status;

    public PlatformFailure(int status, String message) {
        super(message);
        this.status = status;
    }

    /** Returns the HTTP status of the answer. */
    public int status() {
        return status;
    }
}
