package io.hornbeamfield.core.budget;

/**
 * Cumulative counters of one router incarnation in a budget record, in tokens. No counter ever falls, so that writing
 * or reading a value twice has the effect of doing it once.
 */
public record HolderEntry(long taken, long returned, long spent, long sentOut, long receivedIn) {
    /** The entry of a holder that has done nothing yet. */
    public static final HolderEntry NONE = new HolderEntry(0, 0, 0, 0, 0);

    /** Returns the tokens that the holder can still spend. */
    public long held() {
        return taken + receivedIn - returned - sentOut - spent;
    }

    /** Returns the tokens that left the free balance of the budget and did not come back. */
    public long netTaken() {
        return taken - returned;
    }

    /** Returns whether no counter of this entry is below the same counter of the other. */
    public boolean isAtLeast(HolderEntry other) {
        return taken >= other.taken
                && returned >= other.returned
                && spent >= other.spent
                && sentOut >= other.sentOut
                && receivedIn >= other.receivedIn;
    }
}
