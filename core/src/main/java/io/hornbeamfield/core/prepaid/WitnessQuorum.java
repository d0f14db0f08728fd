package io.hornbeamfield.core.prepaid;

/**
 * How many of an instance's witnesses must know a limit before it is used, and how many must answer after its end. Each
 * two groups of those sizes share a witness, so the answers always contain the last limit that was used.
 *
 * <p>Answers two load patterns: an instance that has lost the store and a witness at once goes on spending what it
 * holds, and after more than half of all instances are killed together the rest still knows what those have used.
 */
public final class WitnessQuorum {
    private WitnessQuorum() {}

    /** Returns the answers that prove the last limit: a third, so that most of a fleet may be killed at once. */
    public static int requiredAnswers(int witnesses) {
        return (witnesses + 3) / 3;
    }

    /** Returns the acknowledgements that make a limit count. */
    static int requiredAcknowledgements(int witnesses) {
        return witnesses - requiredAnswers(witnesses) + 1;
    }
}
