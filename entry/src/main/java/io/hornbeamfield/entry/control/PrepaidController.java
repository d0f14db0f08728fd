package io.hornbeamfield.entry.control;

import io.hornbeamfield.core.prepaid.ConflictBackoff;
import io.hornbeamfield.core.prepaid.EndedHolder;
import io.hornbeamfield.core.prepaid.PrepaidHoldings;
import io.hornbeamfield.core.prepaid.PrepaidLedger;
import io.hornbeamfield.core.prepaid.RetryAfter;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.platform.StoreClient;
import io.hornbeamfield.platform.StoreObject;
import io.hornbeamfield.platform.WriteReply;
import java.time.Clock;
import java.util.Collection;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/** Takes tokens from the prepaid totals, one write at a time, and from other instances when the store has none. */
final class PrepaidController {
    private static final String KIND = "prepaid";
    private static final String NAME = "ledger";

    /** After a call without an answer; the store may be overloaded or away. */
    private static final long RETRY_MS = 250;

    /**
     * Several times the store's usual answer; a request that waits longer for it is better served by another instance.
     */
    private static final long SLOW_STORE_MS = 30;

    /** Receives what became of requests that wait for tokens. */
    interface Waiters {
        /** This instance may hold more tokens than before. */
        void holdingsChanged();

        /** The total does not cover the requests. */
        void exhausted(String workspace);

        /** No tokens can be had now, although the total may cover the requests. */
        void unavailable(String workspace, long retryAfterMs);
    }

    private final StoreClient store;
    private final Clock clock;
    private final ScheduledExecutorService control;
    private final PrepaidHoldings book;
    private final EventLog log;
    private final Predicate<String> isEnded;
    private final Waiters waiters;
    private @Nullable PeerTransfers peers;
    private @Nullable StoreObject seen;
    private boolean absent;
    private boolean busy;
    private final ConflictBackoff backoff = new ConflictBackoff();
    private boolean storeLost;
    private long lostSinceMs;

    PrepaidController(
            StoreClient store,
            Clock clock,
            ScheduledExecutorService control,
            PrepaidHoldings book,
            EventLog log,
            Predicate<String> isEnded,
            Waiters waiters) {
        this.store = store;
        this.clock = clock;
        this.control = control;
        this.book = book;
        this.log = log;
        this.isEnded = isEnded;
        this.waiters = waiters;
    }

    /** Sets the other instances, which need this controller's holdings to be started first. */
    void peers(PeerTransfers transfers) {
        peers = transfers;
    }

    /** Writes if that is due. */
    void tick() {
        StoreObject object = seen;
        if (object != null) {
            PrepaidLedger ledger = ledger(object);
            Set<String> endedHolders = ledger.holders().stream().filter(isEnded).collect(Collectors.toSet());
            if (!endedHolders.isEmpty()) {
                peers().witnesses().askAbout(ledger, endedHolders);
            }
        }
        // Read once without a write too: it may name earlier incarnations of this instance.
        if (!busy && (seen == null || book.needsWrite())) {
            step();
        }
    }

    /** Gets tokens for requests of a workspace that wait. */
    void need(String workspace) {
        long missing = book.shortfall(workspace);
        if (missing == 0 && book.needsHigherLimit(workspace)) {
            peers().witnesses().raise(workspace, () -> limitRaised(workspace));
        } else if (missing == 0) {
            waiters.holdingsChanged();
        } else if (!book.isHolder()) {
            peers().ask(workspace, () -> takeDirectly(workspace));
        } else if (storeLost || (seen != null && !book.coversSmallestWaiting(workspace))) {
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
                    SLOW_STORE_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Nobody that holds tokens has any: the ledger tells whether the total has. */
    private void takeDirectly(String workspace) {
        book.allowDirectTake(workspace);
        tick();
        control.schedule(
                () -> {
                    if (book.shortfall(workspace) == 0) {
                        waiters.holdingsChanged();
                    } else if (storeLost) {
                        waiters.unavailable(workspace, retryAfterMs());
                    } else if (seen != null && !book.coversSmallestWaiting(workspace)) {
                        waiters.exhausted(workspace);
                    } else {
                        need(workspace);
                    }
                },
                SLOW_STORE_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Without the store no other witness can be named, so that a silent one leaves nothing to wait for. */
    private void limitRaised(String workspace) {
        if (storeLost && book.needsHigherLimit(workspace)) {
            waiters.unavailable(workspace, retryAfterMs());
        } else {
            waiters.holdingsChanged();
        }
    }

    private void askPeers(String workspace) {
        Runnable onNothing = () -> {
            if (storeLost) {
                waiters.unavailable(workspace, retryAfterMs());
            } else if (seen != null && !book.coversSmallestWaiting(workspace)) {
                waiters.exhausted(workspace);
            }
        };
        peers().ask(workspace, onNothing);
    }

    private long retryAfterMs() {
        return RetryAfter.delayMs(
                clock.millis() - lostSinceMs, peers().linked(), peers().known(), ThreadLocalRandom.current());
    }

    private PeerTransfers peers() {
        return Objects.requireNonNull(peers, "peers");
    }

    /** Writes what is known of ended holders, so that what they did not use can be taken again. */
    void endedHoldersKnown() {
        if (!busy) {
            step();
        }
    }

    private void step() {
        busy = true;
        StoreObject object = seen;
        if (object != null) {
            write(object);
        } else if (absent) {
            create();
        } else {
            store.get(KIND, NAME).whenCompleteAsync(this::read, control);
        }
    }

    private void read(@Nullable Optional<StoreObject> found, @Nullable Throwable failure) {
        if (found == null) {
            log.event("prepaid-read-failed")
                    .field("reason", String.valueOf(failure))
                    .write();
            pause();
        } else {
            storeLost = false;
            absent = found.isEmpty();
            found.ifPresent(this::observe);
            step();
        }
    }

    private void create() {
        store.create(KIND, NAME, Json.tree(PrepaidLedger.empty())).whenCompleteAsync(this::written, control);
    }

    private void write(StoreObject object) {
        PrepaidLedger ledger = ledger(object);
        Collection<EndedHolder> ended = peers().witnesses().ended(ledger);
        Optional<PrepaidLedger> next = book.planWrite(ledger, object.revision(), ended);
        if (next.isEmpty()) {
            busy = false;
            waiters.holdingsChanged();
            return;
        }
        for (EndedHolder e : ended) {
            log.event("prepaid-freed")
                    .field("holder", e.holder())
                    .field("revision", object.revision())
                    .write();
        }
        store.replace(KIND, NAME, object.revision(), Json.tree(next.get())).whenCompleteAsync(this::written, control);
    }

    private void written(@Nullable WriteReply reply, @Nullable Throwable failure) {
        if (reply instanceof WriteReply.Stored s) {
            storeLost = false;
            absent = false;
            observe(s.object());
            log.event("prepaid-written")
                    .field("revision", s.object().revision())
                    .field("totalUntakenHeld", book.summary())
                    .write();
            backoff.afterWrite();
            busy = false;
            waiters.holdingsChanged();
            tick();
        } else if (reply instanceof WriteReply.Conflict c) {
            storeLost = false;
            seen = null;
            absent = false;
            c.current().ifPresent(this::observe);
            control.schedule(
                    this::step,
                    backoff.afterConflict(book.holderCount(), ThreadLocalRandom.current()),
                    TimeUnit.MILLISECONDS);
        } else {
            // Whether a write without an answer was done shows when the ledger is read.
            seen = null;
            absent = false;
            log.event("prepaid-write-failed")
                    .field("reason", reply == null ? String.valueOf(failure) : reply.toString())
                    .write();
            pause();
        }
    }

    private void pause() {
        if (!storeLost) {
            storeLost = true;
            lostSinceMs = clock.millis();
        }
        long delay = RETRY_MS + ThreadLocalRandom.current().nextLong(RETRY_MS);
        control.schedule(
                () -> {
                    busy = false;
                    tick();
                },
                delay,
                TimeUnit.MILLISECONDS);
    }

    private void observe(StoreObject object) {
        seen = object;
        book.applyLedger(ledger(object), object.revision());
    }

    private static PrepaidLedger ledger(StoreObject object) {
        return Json.read(object.content(), PrepaidLedger.class);
    }

    /** Gives everything unused back at the end of this process. */
    void returnAll(Runnable done) {
        StoreObject object = seen;
        if (object == null) {
            done.run();
            return;
        }
        busy = true;
        PrepaidLedger next = book.planFullReturn(ledger(object), object.revision());
        store.replace(KIND, NAME, object.revision(), Json.tree(next))
                .whenCompleteAsync(
                        (reply, failure) -> {
                            if (reply instanceof WriteReply.Conflict c
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
