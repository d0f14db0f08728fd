package io.hornbeamfield.entry.control;

import io.hornbeamfield.core.prepaid.ConflictBackoff;
import io.hornbeamfield.core.prepaid.EndedHolder;
import io.hornbeamfield.core.prepaid.PrepaidHoldings;
import io.hornbeamfield.core.prepaid.PrepaidLedger;
import io.hornbeamfield.core.prepaid.RetryAfter;
import io.hornbeamfield.core.prepaid.StoredLedger;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.platform.StoreClient;
import io.hornbeamfield.platform.StoreObject;
import io.hornbeamfield.platform.WriteResult;
import java.io.UncheckedIOException;
import java.time.Clock;
import java.util.Collection;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Acquires prepaid tokens: from the ledger in the store, with at most one write in flight, and from other instances
 * when the store is unavailable or the total is used up.
 */
final class PrepaidController {
    private static final String KIND = "prepaid";
    private static final String NAME = "ledger";

    /** Minimum delay after a failed call; the store may be overloaded or unavailable. */
    private static final long STORE_RETRY_MS = 250;

    /**
     * Several times the usual response time of the store. A request that would wait longer is served faster by asking
     * another instance for tokens.
     */
    private static final long STORE_WAIT_MS = 30;

    /**
     * Time for which an observed ledger suffices to refuse a request that it does not cover. Near the end of a total
     * every such request would otherwise cost a call to the store.
     */
    private static final long OBSERVATION_VALID_MS = 1_000;

    /** Interval at which the ledger is read while holders declare what a restored ledger may lack. */
    private static final long DECLARATIONS_READ_MS = 250;

    /** Receives events about the tokens that waiting requests need. */
    interface TokenListener {
        /** This instance may hold more tokens than before. */
        void holdingsChanged();

        /** The remaining total does not cover the waiting requests. */
        void exhausted(String workspace);

        /** Tokens cannot be acquired now, although the total may cover the requests. */
        void unavailable(String workspace, long retryAfterMs);
    }

    private final StoreClient store;
    private final Clock clock;
    private final ScheduledExecutorService control;
    private final PrepaidHoldings book;
    private final EventLog log;
    private final Predicate<String> isEnded;
    private final TokenListener tokenListener;
    private @Nullable PeerTransfers peers;
    private @Nullable StoreObject lastObserved;
    private long observedAtMs = Long.MIN_VALUE;
    private boolean ledgerAbsent;
    private boolean writeInProgress;
    private final ConflictBackoff backoff = new ConflictBackoff();
    private boolean storeLost;
    private long storeLostSinceMs;

    PrepaidController(
            StoreClient store,
            Clock clock,
            ScheduledExecutorService control,
            PrepaidHoldings book,
            EventLog log,
            Predicate<String> isEnded,
            TokenListener tokenListener) {
        this.store = store;
        this.clock = clock;
        this.control = control;
        this.book = book;
        this.log = log;
        this.isEnded = isEnded;
        this.tokenListener = tokenListener;
    }

    /** Sets the access to other instances, which is created after this controller because it uses its callbacks. */
    void setPeers(PeerTransfers transfers) {
        peers = transfers;
    }

    /** Queries witnesses of ended holders, and reads or writes the ledger if that is due. */
    void tick() {
        forgetOutdatedLedger();
        StoreObject object = lastObserved;
        if (object != null) {
            PrepaidLedger ledger = decodeLedger(object);
            Set<String> endedHolders = ledger.holders().stream().filter(isEnded).collect(Collectors.toSet());
            if (!endedHolders.isEmpty()) {
                peers().witnesses().queryWitnesses(ledger, endedHolders);
            }
        }
        // Reads the ledger once even if no write is due: it may list earlier incarnations of this instance.
        if (!writeInProgress && (lastObserved == null || book.needsWrite())) {
            advance();
        }
    }

    /** Lets the ledger be read again if the store came back from an older copy, or others change it meanwhile. */
    private void forgetOutdatedLedger() {
        StoreObject object = lastObserved;
        if (object == null || writeInProgress) {
            return;
        }
        boolean restored = object.revision().generation() != store.generation();
        boolean beingDeclared = !book.isLedgerSettled() && clock.millis() - observedAtMs >= DECLARATIONS_READ_MS;
        if (restored || beingDeclared) {
            lastObserved = null;
        }
    }

    /** Acquires tokens for the waiting requests of a workspace. */
    void requestTokens(String workspace) {
        long missing = book.shortfall(workspace);
        if (missing == 0 && book.needsHigherLimit(workspace)) {
            peers().witnesses().raiseLimit(workspace, () -> onLimitRaised(workspace));
        } else if (missing == 0) {
            tokenListener.holdingsChanged();
        } else if (!book.isHolder()) {
            peers().requestTokens(workspace, () -> takeFromLedger(workspace));
        } else if (storeLost || (lastObserved != null && !book.coversSmallestWaiting(workspace))) {
            tick();
            askPeers(workspace);
        } else {
            tick();
            control.schedule(
                    () -> {
                        if (book.shortfall(workspace) > 0) {
                            askPeers(workspace);
                        }
                    },
                    STORE_WAIT_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Takes tokens directly from the ledger, which shows whether any are left, after no linked holder could grant some.
     */
    private void takeFromLedger(String workspace) {
        boolean recent = lastObserved != null && clock.millis() - observedAtMs < OBSERVATION_VALID_MS;
        if (recent && !book.coversSmallestWaiting(workspace)) {
            tokenListener.exhausted(workspace);
            return;
        }
        book.allowDirectTake(workspace);
        tick();
        control.schedule(
                () -> {
                    if (book.shortfall(workspace) == 0) {
                        tokenListener.holdingsChanged();
                    } else if (storeLost) {
                        tokenListener.unavailable(workspace, retryAfterMs());
                    } else if (lastObserved != null && !book.coversSmallestWaiting(workspace)) {
                        tokenListener.exhausted(workspace);
                    } else {
                        requestTokens(workspace);
                    }
                },
                STORE_WAIT_MS,
                TimeUnit.MILLISECONDS);
    }

    /** While the store is unavailable no witness can be replaced, so waiting for a silent one is pointless. */
    private void onLimitRaised(String workspace) {
        if (storeLost && book.needsHigherLimit(workspace)) {
            tokenListener.unavailable(workspace, retryAfterMs());
        } else {
            tokenListener.holdingsChanged();
        }
    }

    private void askPeers(String workspace) {
        Runnable onNoneGranted = () -> {
            if (storeLost) {
                tokenListener.unavailable(workspace, retryAfterMs());
            } else if (lastObserved != null && !book.coversSmallestWaiting(workspace)) {
                tokenListener.exhausted(workspace);
            }
        };
        peers().requestTokens(workspace, onNoneGranted);
    }

    private long retryAfterMs() {
        return RetryAfter.delayMs(
                clock.millis() - storeLostSinceMs,
                peers().linkCount(),
                peers().expectedLinkCount(),
                ThreadLocalRandom.current());
    }

    private PeerTransfers peers() {
        return Objects.requireNonNull(peers, "peers");
    }

    /** Writes newly known usage of ended holders, so that their unused tokens can be taken again. */
    void onWitnessReply() {
        if (!writeInProgress) {
            advance();
        }
    }

    private void advance() {
        writeInProgress = true;
        StoreObject object = lastObserved;
        if (object != null) {
            write(object);
        } else if (ledgerAbsent) {
            create();
        } else {
            store.get(KIND, NAME).whenCompleteAsync(this::onRead, control);
        }
    }

    private void onRead(@Nullable Optional<StoreObject> found, @Nullable Throwable failure) {
        if (found == null) {
            log.event("prepaid-read-failed")
                    .field("reason", String.valueOf(failure))
                    .write();
            retryLater();
        } else {
            storeLost = false;
            ledgerAbsent = found.isEmpty();
            found.ifPresent(this::observe);
            if (ledgerAbsent || lastObserved != null) {
                advance();
            } else {
                retryLater();
            }
        }
    }

    private void create() {
        store.create(KIND, NAME, LedgerJson.write(book.planCreation(store.era())))
                .whenCompleteAsync(this::onWritten, control);
    }

    private void write(StoreObject object) {
        PrepaidLedger ledger = decodeLedger(object);
        Collection<EndedHolder> ended = peers().witnesses().endedHolders(ledger);
        Optional<PrepaidLedger> next = book.planWrite(stored(ledger, object), ended);
        if (next.isEmpty()) {
            writeInProgress = false;
            tokenListener.holdingsChanged();
            return;
        }
        for (EndedHolder e : ended) {
            log.event("prepaid-freed")
                    .field("holder", e.holder())
                    .field("revision", object.revision().number())
                    .write();
        }
        store.replace(KIND, NAME, object.revision(), LedgerJson.write(next.get()))
                .whenCompleteAsync(this::onWritten, control);
    }

    private void onWritten(@Nullable WriteResult reply, @Nullable Throwable failure) {
        if (reply instanceof WriteResult.Stored s) {
            storeLost = false;
            ledgerAbsent = false;
            observe(s.object());
            log.event("prepaid-written")
                    .field("revision", s.object().revision().number())
                    .field("era", store.era())
                    .field("totalUntakenHeld", book.summary())
                    .write();
            backoff.afterWrite();
            writeInProgress = false;
            tokenListener.holdingsChanged();
            tick();
        } else if (reply instanceof WriteResult.Conflict c) {
            storeLost = false;
            lastObserved = null;
            ledgerAbsent = false;
            c.current().ifPresent(this::observe);
            RandomGenerator random = ThreadLocalRandom.current();
            long delayMs = book.isLargeFleet()
                    ? backoff.afterConflictInLargeFleet(book.holderCount(), random)
                    : backoff.afterConflict(book.holderCount(), random);
            control.schedule(this::advance, delayMs, TimeUnit.MILLISECONDS);
        } else {
            // The ledger is read again to find out whether a write without a response was applied.
            lastObserved = null;
            ledgerAbsent = false;
            log.event("prepaid-write-failed")
                    .field("reason", reply == null ? String.valueOf(failure) : reply.toString())
                    .write();
            retryLater();
        }
    }

    private void retryLater() {
        if (!storeLost) {
            storeLost = true;
            storeLostSinceMs = clock.millis();
        }
        long delay = STORE_RETRY_MS + ThreadLocalRandom.current().nextLong(STORE_RETRY_MS);
        control.schedule(
                () -> {
                    writeInProgress = false;
                    tick();
                },
                delay,
                TimeUnit.MILLISECONDS);
    }

    /** Applies a ledger. One that cannot be read shows nothing, so that nothing may be taken on the basis of it. */
    private void observe(StoreObject object) {
        PrepaidLedger ledger;
        try {
            ledger = decodeLedger(object);
        } catch (UncheckedIOException e) {
            lastObserved = null;
            log.event("prepaid-ledger-unreadable")
                    .field("revision", object.revision().number())
                    .field("reason", String.valueOf(e.getMessage()))
                    .write();
            return;
        }
        lastObserved = object;
        observedAtMs = clock.millis();
        boolean wasSettled = book.isLedgerSettled();
        StoredLedger stored = stored(ledger, object);
        book.applyLedger(stored);
        if (book.isLedgerSettled() != wasSettled) {
            log.event(wasSettled ? "prepaid-ledger-restored" : "prepaid-ledger-settled")
                    .field("revision", object.revision().number())
                    .field("era", stored.era())
                    .field("ledgerEra", ledger.era())
                    .field("undeclared", ledger.undeclared().size())
                    .field("totalUntakenHeld", book.summary())
                    .write();
        }
    }

    private StoredLedger stored(PrepaidLedger ledger, StoreObject object) {
        return new StoredLedger(ledger, object.revision(), store.era());
    }

    private static PrepaidLedger decodeLedger(StoreObject object) {
        return LedgerJson.read(object.content());
    }

    /** Returns all unused tokens to the ledger at shutdown, then runs an action. */
    void returnAll(Runnable done) {
        StoreObject object = lastObserved;
        if (object == null) {
            done.run();
            return;
        }
        writeInProgress = true;
        PrepaidLedger next = book.planFullReturn(stored(decodeLedger(object), object));
        store.replace(KIND, NAME, object.revision(), LedgerJson.write(next))
                .whenCompleteAsync(
                        (reply, failure) -> {
                            if (reply instanceof WriteResult.Conflict c
                                    && c.current().isPresent()) {
                                observe(c.current().get());
                                returnAll(done);
                            } else {
                                done.run();
                            }
                        },
                        control);
    }
}
