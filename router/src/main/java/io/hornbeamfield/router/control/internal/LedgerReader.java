package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.ledger.LedgerBatch;
import io.hornbeamfield.core.ledger.PendingWrite;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.platform.ObjectPage;
import io.hornbeamfield.net.platform.VersionedValue;
import io.hornbeamfield.net.platform.WriteResult;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.jboss.logging.Logger;

/**
 * Reads and caches the ledgers of other incarnations. Stored batches are immutable, and after a router dies many
 * requests are looked up in the same ledger.
 */
final class LedgerReader {
    private static final int PAGE_SIZE = 100;
    /** About 10 MB at 200 bytes a record. The least recently used ledger is evicted first. */
    private static final int MAX_CACHED_RECORDS = 50_000;

    private static final Logger LOG = Logger.getLogger(LedgerReader.class);

    private final ControlContext context;
    private final Set<String> unreadableKeys = new HashSet<>();
    private final Map<String, List<LedgerBatch>> cache = new LinkedHashMap<>(16, 0.75f, true);

    LedgerReader(ControlContext context) {
        this.context = context;
    }

    /** Batches that follow the requested sequence number, and whether there may be more. */
    record Batches(List<LedgerBatch> batches, boolean more) {}

    /**
     * Reads the batches after a sequence number, without gaps. Called on the control thread; completes on any thread.
     */
    CompletableFuture<Batches> read(String ledger, long after) {
        List<LedgerBatch> cached = cache.getOrDefault(ledger, List.of());
        if (cached.size() > after) {
            return CompletableFuture.completedFuture(
                    new Batches(List.copyOf(cached.subList((int) after, cached.size())), true));
        }
        return context.platform()
                .list("ledger/" + ledger + "/", PendingWrite.objectKey(ledger, after), PAGE_SIZE)
                .thenApply(page -> batches(ledger, after, page));
    }

    /** A list from a lagging replica may lack batches; those after a gap are discarded and read again later. */
    private static Batches batches(String ledger, long after, ObjectPage page) {
        List<LedgerBatch> found = new ArrayList<>();
        for (VersionedValue object : page.objects()) {
            if (!object.key().equals(PendingWrite.objectKey(ledger, after + found.size() + 1))) {
                return new Batches(found, false);
            }
            found.add(Json.read(object.value(), LedgerBatch.class));
        }
        return new Batches(found, page.more() && !found.isEmpty());
    }

    /** Caches batches that were read after a sequence number. Called on the control thread. */
    void cacheBatches(String ledger, long after, List<LedgerBatch> batches) {
        List<LedgerBatch> cached = cache.computeIfAbsent(ledger, l -> new ArrayList<>());
        if (cached.size() == after) {
            cached.addAll(batches);
        }
        int records = cache.values().stream()
                .flatMap(List::stream)
                .mapToInt(b -> b.records().size())
                .sum();
        var leastRecentlyUsed = cache.keySet().iterator();
        if (records > MAX_CACHED_RECORDS && leastRecentlyUsed.hasNext()) {
            leastRecentlyUsed.next();
            leastRecentlyUsed.remove();
        }
    }

    /**
     * Returns the batch that a conflict reports as stored, or empty if there is none or it cannot be parsed. An
     * unreadable object is logged only once, because writers retry until it is corrected.
     */
    Optional<LedgerBatch> storedBatch(WriteResult result) {
        if (!(result instanceof WriteResult.Conflict conflict)
                || conflict.current().isEmpty()) {
            return Optional.empty();
        }
        VersionedValue value = conflict.current().get();
        try {
            LedgerBatch batch = Json.read(value.value(), LedgerBatch.class);
            unreadableKeys.remove(value.key());
            return Optional.of(batch);
        } catch (UncheckedIOException e) {
            context.count("ledger.unreadable");
            if (unreadableKeys.add(value.key())) {
                LOG.errorf("The ledger object %s cannot be parsed. Bills wait until it is corrected.", value.key());
            }
            return Optional.empty();
        }
    }
}
