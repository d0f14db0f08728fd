package io.hornbeamfield.net.http.internal;

/** Classes of status codes; the parser accepts any number. */
public final class ResponseStatus {
    private static final int FIRST = 100;
    private static final int FIRST_FINAL = 200;
    private static final int LAST = 599;

    private ResponseStatus() {}

    /** Returns whether the status is one of HTTP. A response with another one is no valid response. */
    public static boolean isValid(int status) {
        return status >= FIRST && status <= LAST;
    }

    /** Returns whether a further head follows the one with this status. */
    public static boolean isInterim(int status) {
        return status >= FIRST && status < FIRST_FINAL;
    }
}
