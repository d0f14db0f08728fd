package io.hornbeamfield.core.prepaid;

/**
 * Quorum sizes for witnessed limits: how many of an instance's witnesses must acknowledge a limit before it is in
 * force, and how many must answer after the instance has ended. The two quorums always intersect, so the answers
 * contain the last limit that was in force.
 *
 * <p>Tolerates two failures: an instance that has lost the store and a witness at once keeps spending what it holds,
 * and if more than half of all instances are killed together, the rest still knows the limits of their use.
 */
public final class WitnessQuorum {
    private WitnessQuorum() {}

    /** Returns the answers needed to recover the last limit: a third, so that most of a fleet may be killed at once. */
    public static int requiredAnswers(int witnesses) {
        return (witnesses + 3) / 3;
    }

    /** Returns the acknowledgements needed before a limit is in force. */
    static int requiredAcknowledgements(int witnesses) {
        return witnesses - requiredAnswers(witnesses) + 1;
    }
}
