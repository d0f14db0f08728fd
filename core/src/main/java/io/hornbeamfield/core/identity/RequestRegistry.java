package io.hornbeamfield.core.identity;

import io.hornbeamfield.core.result.Ran;
import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.Result;
import io.hornbeamfield.core.result.ResultCode;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.ToLongFunction;
import org.jspecify.annotations.Nullable;

/**
 * Deduplicates the keyed requests of one router incarnation, so that each runs at most once. Thread-safe.
 *
 * <pre>{@code
 * switch (registry.admit(key, workspace, fingerprint)) {
 *     case Run: run, then registry.complete(key, workspace, response)
 *     case Join: answer when the request in flight finishes
 *     case Replay: answer with the stored response
 *     case RelayToOwner: relay to the owner
 *     case Refused: answer with the refusal
 * }
 * }</pre>
 *
 * @param <T> the stored outcome of a finished request
 */
public final class RequestRegistry<T> {
    private final String incarnation;
    private final Clock clock;
    private final RegistryLimits limits;
    private final ToLongFunction<T> outcomeSizer;
    private final RefusedKeyFilter refusedKeys = new RefusedKeyFilter();
    private final Map<ScopedKey, Entry<T>> entries = new HashMap<>();
    private final TreeMap<Long, List<ScopedKey>> byIssueTime = new TreeMap<>();
    /** Finished requests whose outcome is stored, oldest first; the eviction order. */
    private final Set<ScopedKey> withOutcome = new LinkedHashSet<>();

    private long outcomeBytes;

    private record ScopedKey(String workspace, RequestKey key) {}

    private static final class Entry<T> {
        final String fingerprint;
        final CompletableFuture<Result<T>> result = new CompletableFuture<>();
        boolean finished;

        @Nullable
        T outcome;

        long bytes;

        @Nullable
        Refusal refusal;

        Entry(String fingerprint) {
            this.fingerprint = fingerprint;
        }
    }

    /** Creates an empty registry. {@code outcomeSizer} returns the size of an outcome in bytes. */
    public RequestRegistry(String incarnation, Clock clock, RegistryLimits limits, ToLongFunction<T> outcomeSizer) {
        this.incarnation = incarnation;
        this.clock = clock;
        this.limits = limits;
        this.outcomeSizer = outcomeSizer;
    }

    /** Decides how to handle a request. The fingerprint identifies its method, path and body. */
    public Admission<T> admit(RequestKey key, String workspace, String fingerprint) {
        if (!key.owner().equals(incarnation)) {
            return new Admission.RelayToOwner<>(key.owner());
        }
        return decide(key, workspace, fingerprint);
    }

    /**
     * Decides how to handle a repeatable request whose owner cannot be reached. If it is refused, the refusal states
     * that the outcome is unknown, because the owner may have run the request.
     */
    public Admission<T> admitForUnreachableOwner(RequestKey key, String workspace, String fingerprint) {
        return decide(key, workspace, fingerprint);
    }

    private synchronized Admission<T> decide(RequestKey key, String workspace, String fingerprint) {
        removeExpired();
        ScopedKey id = new ScopedKey(workspace, key);
        Entry<T> entry = entries.get(id);
        if (entry != null) {
            return admitKnown(entry, fingerprint);
        }
        long ageSeconds = ageSeconds(key);
        if (ageSeconds > limits.keyLifetime().toSeconds()) {
            return new Admission.Refused<>(Refusal.of(
                    ResultCode.KEY_EXPIRED,
                    "The key was issued " + ageSeconds + " s ago, more than the key lifetime of "
                            + limits.keyLifetime().toSeconds() + " s. Check whether the request took effect."));
        }
        if (isTooFarInFuture(key)) {
            refusedKeys.add(workspace, key);
            return new Admission.Refused<>(adjustForOwner(
                    key,
                    Refusal.of(
                            ResultCode.KEY_MALFORMED,
                            "The key was issued " + -ageSeconds
                                    + " s ahead of the router's clock. Use the time of the address answer.")));
        }
        if (entries.size() >= limits.maxKeys() || refusedKeys.mayContain(workspace, key)) {
            refusedKeys.add(workspace, key);
            return new Admission.Refused<>(adjustForOwner(
                    key,
                    Refusal.of(
                                    ResultCode.REGISTRY_FULL,
                                    "The request registry cannot accept this key (limit: " + limits.maxKeys()
                                            + " keys). Retry with a new key.")
                            .retryAfter(1)));
        }
        insert(id, new Entry<>(fingerprint));
        return new Admission.Run<>();
    }

    private Admission<T> admitKnown(Entry<T> entry, String fingerprint) {
        if (!entry.fingerprint.equals(fingerprint)) {
            return new Admission.Refused<>(Refusal.of(
                    ResultCode.KEY_REUSED,
                    "The key was used for a request with another method, path or body. Use a new key."));
        }
        if (!entry.finished) {
            return new Admission.Join<>(entry.result);
        }
        Refusal refusal = entry.refusal;
        if (refusal != null) {
            return new Admission.Refused<>(refusal);
        }
        T outcome = entry.outcome;
        if (outcome != null) {
            return new Admission.Replay<>(outcome);
        }
        return new Admission.Refused<>(
                Refusal.of(ResultCode.OUTCOME_UNKNOWN, "The request has run, but its outcome is no longer stored."));
    }

    /** Stores the outcome of a request in flight and completes the stage of the callers that joined it. */
    public void complete(RequestKey key, String workspace, T outcome) {
        Entry<T> entry;
        synchronized (this) {
            ScopedKey id = new ScopedKey(workspace, key);
            entry = entries.get(id);
            if (entry == null || entry.finished) {
                return;
            }
            entry.finished = true;
            long bytes = outcomeSizer.applyAsLong(outcome);
            if (bytes <= limits.maxBytesPerOutcome() && bytes <= limits.maxOutcomeBytes()) {
                entry.outcome = outcome;
                entry.bytes = bytes;
                outcomeBytes += bytes;
                withOutcome.add(id);
                evictOutcomes();
            }
            removeExpired();
        }
        entry.result.complete(Result.ok(outcome));
    }

    /**
     * Records that a request was refused, so that it never runs under this key. Returns the refusal to answer with: for
     * a request whose owner cannot be reached, a refusal that states "not run" becomes {@code OUTCOME_UNKNOWN}.
     */
    public Refusal refuse(RequestKey key, String workspace, String fingerprint, Refusal refusal) {
        Refusal effective = adjustForOwner(key, refusal);
        Entry<T> entry;
        synchronized (this) {
            ScopedKey id = new ScopedKey(workspace, key);
            entry = entries.get(id);
            if (entry == null) {
                if (entries.size() >= limits.maxKeys() || isTooFarInFuture(key)) {
                    refusedKeys.add(workspace, key);
                    return effective;
                }
                entry = new Entry<>(fingerprint);
                insert(id, entry);
            }
            if (entry.finished) {
                return effective;
            }
            entry.finished = true;
            entry.refusal = effective;
            removeExpired();
        }
        entry.result.complete(Result.refused(effective));
        return effective;
    }

    /** Returns the number of keys with an entry. */
    public synchronized int size() {
        return entries.size();
    }

    /** Returns the total size of the stored outcomes in bytes. */
    public synchronized long outcomeBytes() {
        return outcomeBytes;
    }

    private void insert(ScopedKey id, Entry<T> entry) {
        entries.put(id, entry);
        byIssueTime
                .computeIfAbsent(id.key().issuedEpochSecond(), s -> new ArrayList<>())
                .add(id);
    }

    private long ageSeconds(RequestKey key) {
        return clock.instant().getEpochSecond() - key.issuedEpochSecond();
    }

    /** Returns whether a key is issued so far in the future that its entry would be retained for too long. */
    private boolean isTooFarInFuture(RequestKey key) {
        return -ageSeconds(key) > RegistryLimits.MAX_FUTURE_SKEW.toSeconds();
    }

    /** Changes a "not run" refusal of a key that another incarnation owns to {@code OUTCOME_UNKNOWN}. */
    private Refusal adjustForOwner(RequestKey key, Refusal refusal) {
        if (key.owner().equals(incarnation) || refusal.code().ran() == Ran.UNKNOWN) {
            return refusal;
        }
        return Refusal.of(
                ResultCode.OUTCOME_UNKNOWN,
                "The router that owns the key cannot be reached and may have run the request; here it was refused: "
                        + refusal.detail());
    }

    private void evictOutcomes() {
        var oldest = withOutcome.iterator();
        while (outcomeBytes > limits.maxOutcomeBytes() && oldest.hasNext()) {
            evictOutcome(oldest.next());
            oldest.remove();
        }
    }

    private void evictOutcome(ScopedKey id) {
        Entry<T> entry = entries.get(id);
        if (entry != null) {
            outcomeBytes -= entry.bytes;
            entry.bytes = 0;
            entry.outcome = null;
        }
    }

    /** Removes finished requests whose keys have expired: such a key is refused by its age alone. */
    private void removeExpired() {
        long oldestValid =
                clock.instant().getEpochSecond() - limits.keyLifetime().toSeconds();
        var expired = byIssueTime.headMap(oldestValid).values().iterator();
        while (expired.hasNext()) {
            List<ScopedKey> ids = expired.next();
            ids.removeIf(this::removeIfFinished);
            if (ids.isEmpty()) {
                expired.remove();
            }
        }
    }

    private boolean removeIfFinished(ScopedKey id) {
        Entry<T> entry = entries.get(id);
        if (entry != null && !entry.finished) {
            return false;
        }
        evictOutcome(id);
        withOutcome.remove(id);
        entries.remove(id);
        return true;
    }
}
