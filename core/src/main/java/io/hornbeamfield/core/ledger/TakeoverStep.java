package io.hornbeamfield.core.ledger;

/** What a {@link TakeoverProcess} needs next, or how it ended. */
public sealed interface TakeoverStep {
    /** Read the batches of a ledger after a number, in order, and pass them to {@link TakeoverProcess#onRead}. */
    record Read(String ledger, long afterSequence) implements TakeoverStep {}

    /** Create a takeover batch, and report the outcome. */
    record Create(PendingWrite write) implements TakeoverStep {}

    /**
     * This incarnation bills the request, by {@link LedgerWriter#addTakenOver}. Takeovers of the request in the own
     * ledger up to the given number are part of the chain that led here.
     */
    record Granted(long ownSequence) implements TakeoverStep {}

    /** The request is billed already, in the given ledger. */
    record AlreadyBilled(String ledger) implements TakeoverStep {}
}
