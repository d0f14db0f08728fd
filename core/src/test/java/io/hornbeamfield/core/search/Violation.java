package io.hornbeamfield.core.search;

/** Thrown when an invariant does not hold. Has no stack trace. */
final class Violation extends RuntimeException {
    private static final long serialVersionUID = 1;

    Violation(String message) {
        super(message, null, false, false);
    }

    static void throwUnless(boolean holds, String message, Object... args) {
        if (!holds) {
            throw new Violation(message.formatted(args));
        }
    }
}
