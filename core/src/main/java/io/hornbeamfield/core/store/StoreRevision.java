package io.hornbeamfield.core.store;

/**
 * Revision of the platform's store. A store that comes back from an older copy gives its numbers out again, so a number
 * counts only within a generation, which {@link StoreEras} determines.
 *
 * @param generation generation of the store's content in which the number was given out
 * @param number revision as the store names it
 */
public record StoreRevision(long generation, long number) implements Comparable<StoreRevision> {
    /** Precedes all revisions. */
    public static final StoreRevision NONE = new StoreRevision(-1, -1);

    /** Returns whether the numbers of both revisions can be compared. */
    public boolean isOfGenerationOf(StoreRevision other) {
        return generation == other.generation;
    }

    /** Returns whether content read at this revision is at least as recent as content read at another one. */
    public boolean isAtLeast(StoreRevision other) {
        return compareTo(other) >= 0;
    }

    @Override
    public int compareTo(StoreRevision other) {
        return generation == other.generation
                ? Long.compare(number, other.number)
                : Long.compare(generation, other.generation);
    }

    // Those of a record are generated when they are first used, which delays each start.
    @Override
    public int hashCode() {
        return 31 * Long.hashCode(generation) + Long.hashCode(number);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof StoreRevision o && generation == o.generation && number == o.number;
    }

    @Override
    public String toString() {
        return number + "@" + generation;
    }
}
