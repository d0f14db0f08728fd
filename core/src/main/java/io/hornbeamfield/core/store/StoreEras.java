package io.hornbeamfield.core.store;

import java.util.OptionalLong;

/**
 * Numbers the generations of the store's content that this process has observed. The store names in its answers an era
 * that is higher each time it has come back from an older copy. Answers of one generation have been given in one era;
 * content of a later generation replaces that of an earlier one. Thread-safe.
 *
 * <pre>{@code
 * long call = eras.callStarted();
 * OptionalLong generation = eras.generationOf(call, eraNamedByAnswer);
 * }</pre>
 */
public final class StoreEras {
    /** Number of a call whose answer may be older than the call. */
    public static final long ANY_TIME = 0;

    private long calls;
    private long era;
    private boolean eraKnown;
    private long generation;
    private long callsWhenEraWasSeen;

    /** Records that a call is about to be sent, and returns its number. */
    public synchronized long callStarted() {
        return ++calls;
    }

    /**
     * Returns the generation to which an answer belongs, empty if its content is older than that of a later era which
     * has been seen already.
     *
     * @param call number of the call that was answered, or {@link #ANY_TIME}
     * @param named era that the answer names, 0 if it names none
     */
    public synchronized OptionalLong generationOf(long call, long named) {
        if (!eraKnown) {
            eraKnown = true;
            see(named);
        } else if (named != era) {
            // A lower era in the answer to a later call is that of another store, which counts its eras anew.
            if (named < era && call <= callsWhenEraWasSeen) {
                return OptionalLong.empty();
            }
            generation++;
            see(named);
        }
        return OptionalLong.of(generation);
    }

    private void see(long named) {
        era = named;
        callsWhenEraWasSeen = calls;
    }

    /** Returns the latest generation. */
    public synchronized long generation() {
        return generation;
    }

    /** Returns the era of the latest generation, 0 if the store names none or has not answered yet. */
    public synchronized long era() {
        return era;
    }
}
