package io.hornbeamfield.core.budget;

/**
 * Cumulative token counters of one router incarnation in a budget record. The counters are monotonic, so writing or
 * reading an entry is idempotent.
 */
public record HolderEntry(long taken, long returned, long spent, long sentOut, long receivedIn) {
    /** The entry of a holder without any activity. */
    public static final HolderEntry NONE = new HolderEntry(0, 0, 0, 0, 0);

    /** Returns the number of tokens that the holder can still spend. */
    public long held() {
        return taken + receivedIn - returned - sentOut - spent;
    }

    /** Returns the number of tokens taken from the free balance and not returned to it. */
    public long netTaken() {
        return taken - returned;
    }

    /** Returns whether every counter of this entry is at least the same counter of the other entry. */
    public boolean isAtLeast(HolderEntry other) {
        return taken >= other.taken
                && returned >= other.returned
                && spent >= other.spent
                && sentOut >= other.sentOut
                && receivedIn >= other.receivedIn;
    }
}
