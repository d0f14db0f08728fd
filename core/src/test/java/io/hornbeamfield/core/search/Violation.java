package io.hornbeamfield.core.search;

/** An invariant that does not hold. */
final class Violation extends RuntimeException {
    private static final long serialVersionUID = 1;

    Violation(String message) {
        super(message, null, false, false);
    }

    static void unless(boolean holds, String message, Object... args) {
        if (!holds) {
            throw new Violation(message.formatted(args));
        }
    }
}
