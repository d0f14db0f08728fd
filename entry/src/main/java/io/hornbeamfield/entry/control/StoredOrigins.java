package io.hornbeamfield.entry.control;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.core.stream.OriginJournal;
import io.hornbeamfield.core.stream.OriginPage;
import io.hornbeamfield.core.stream.StreamId;
import io.hornbeamfield.core.stream.StreamOrigin;
import io.hornbeamfield.core.stream.StreamRecords;
import io.hornbeamfield.entry.Blackboard;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.platform.StoreClient;
import io.hornbeamfield.platform.StoreList;
import io.hornbeamfield.platform.StoreObject;
import io.hornbeamfield.platform.WriteResult;
import java.io.UncheckedIOException;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the origins of streams in the store while several versions serve, and reads those that are kept there at the
 * start of this instance. In a large fleet the instances that hold tokens do so for all.
 */
final class StoredOrigins {
    /** Each instance that keeps origins has a fixed number of objects. */
    private static final String KIND = "stream-origins";

    private static final long WRITE_INTERVAL_MS = 500;

    /** Bounds the calls to the store while many streams are taken up that nobody remembers. */
    private static final long READ_INTERVAL_MS = 1_000;

    private final StoreClient store;
    private final ScheduledExecutorService control;
    private final Clock clock;
    private final Blackboard blackboard;
    private final EventLog log;
    private final String instance;
    private final StreamRecords records;
    private final Predicate<String> hasSeveralVersions;
    private final OriginJournal journal;
    private final List<Runnable> awaitingLoad = new ArrayList<>();
    private boolean loading;
    private boolean loaded;
    private boolean outdated;
    private long lastReadMs;
    private boolean writing;
    private long lastWrittenMs;

    StoredOrigins(
            StoreClient store,
            ScheduledExecutorService control,
            Clock clock,
            Blackboard blackboard,
            EventLog log,
            String instance,
            StreamRecords records,
            Predicate<String> hasSeveralVersions) {
        this.store = store;
        this.control = control;
        this.clock = clock;
        this.blackboard = blackboard;
        this.log = log;
        this.instance = instance;
        this.records = records;
        this.hasSeveralVersions = hasSeveralVersions;
        this.journal = new OriginJournal(clock);
    }

    /** Returns whether this instance keeps origins. */
    boolean keepsOrigins() {
        return blackboard.isLedgerWriter(instance);
    }

    private boolean keepsNone() {
        return blackboard.membersKnown() && !keepsOrigins();
    }

    /** Returns whether what the store keeps is being read, or has not been read yet. */
    boolean isReading() {
        return loading || (!loaded && !keepsNone());
    }

    /** Records that an instance was lost or is silent, so that the store may keep origins that no other one tells. */
    void markOutdated() {
        outdated = true;
    }

    /** Keeps the origin of a stream. */
    void add(StreamId id, StreamOrigin origin) {
        journal.add(id, origin);
    }

    /** Reads and writes origins if that is due. Called a few times per second. */
    void tick() {
        load();
        write();
        if (keepsNone()) {
            runWaiting();
        }
    }

    /** Reads the origins that the store keeps, once this instance is one of those that keep some. */
    private void load() {
        if (loaded || loading || !keepsOrigins()) {
            return;
        }
        read();
    }

    private void reload() {
        if (loaded && outdated && !loading && clock.millis() - lastReadMs >= READ_INTERVAL_MS) {
            read();
        }
    }

    private void read() {
        loading = true;
        outdated = false;
        lastReadMs = clock.millis();
        store.list(KIND).whenCompleteAsync(this::onLoaded, control);
    }

    private void onLoaded(@Nullable StoreList list, @Nullable Throwable failure) {
        loading = false;
        if (list == null) {
            logFailed("read", String.valueOf(failure));
            outdated = true;
            if (loaded) {
                runWaiting();
            }
            return;
        }
        loaded = true;
        for (StoreObject o : list.objects()) {
            decodePage(o).ifPresent(page -> {
                page.streams().forEach(s -> records.add(s.id(), s.origin()));
                if (o.name().startsWith(instance + ".")) {
                    journal.continueAfter(page.sequence());
                }
            });
        }
        runWaiting();
    }

    private void runWaiting() {
        List<Runnable> waiting = List.copyOf(awaitingLoad);
        awaitingLoad.clear();
        waiting.forEach(Runnable::run);
    }

    private Optional<OriginPage> decodePage(StoreObject object) {
        try {
            return Optional.of(Json.read(object.content(), OriginPage.class));
        } catch (UncheckedIOException e) {
            logFailed("decode " + object.name(), String.valueOf(e.getMessage()));
            return Optional.empty();
        }
    }

    /**
     * Runs an action once this instance knows the origins that the store keeps, if it is one of those that keep some.
     * Reads them again if other instances may have told too little.
     */
    void whenLoaded(Runnable action) {
        reload();
        if (isReading()) {
            awaitingLoad.add(action);
        } else {
            action.run();
        }
    }

    /** Writes the origins of streams that one of several versions began. */
    private void write() {
        if (!loaded || writing || clock.millis() - lastWrittenMs < WRITE_INTERVAL_MS) {
            return;
        }
        lastWrittenMs = clock.millis();
        journal.nextPage(hasSeveralVersions).ifPresent(page -> {
            writing = true;
            String name = instance + "." + OriginJournal.slot(page);
            JsonNode content = Json.tree(page);
            store.replace(KIND, name, content)
                    .thenCompose(r -> r instanceof WriteResult.Conflict
                            ? store.create(KIND, name, content)
                            : CompletableFuture.completedFuture(r))
                    .whenCompleteAsync(this::onWritten, control);
        });
    }

    private void onWritten(@Nullable WriteResult reply, @Nullable Throwable failure) {
        writing = false;
        if (!(reply instanceof WriteResult.Stored)) {
            logFailed("write", reply == null ? String.valueOf(failure) : reply.toString());
        }
    }

    private void logFailed(String call, String reason) {
        log.event("stream-origins-failed")
                .field("call", call)
                .field("reason", reason)
                .write();
    }
}
