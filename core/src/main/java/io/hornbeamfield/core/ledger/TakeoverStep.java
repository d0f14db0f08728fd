package io.hornbeamfield.core.ledger;

/** The next step of a {@link TakeoverProcess}, or its result. */
public sealed interface TakeoverStep {
    /**
     * Read the batches of a ledger after a sequence number, in order, and pass them to {@link TakeoverProcess#onRead}.
     */
    record Read(String ledger, long afterSequence) implements TakeoverStep {}

    /** Create a takeover batch, and report the outcome with {@code onApplied} or {@code onConflict}. */
    record Create(PendingWrite write) implements TakeoverStep {}

    /**
     * This incarnation bills the request with {@link LedgerWriter#addTakenOver}. Takeovers of the request in its own
     * ledger up to the given sequence number are part of the chain followed and are superseded.
     */
    record Granted(long ownSequence) implements TakeoverStep {}

    /** The request is already billed in the given ledger. */
    record AlreadyBilled(String ledger) implements TakeoverStep {}
}
