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
 * Remembers the keyed requests of one router incarnation, so that each runs at most once. Thread-safe.
 *
 * <pre>{@code
 * switch (registry.admit(key, workspace, fingerprint)) {
 *     case Run: run, then registry.complete(key, workspace, response)
 *     case Join: answer when the running request ends
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
    private final ToLongFunction<T> sizer;
    private final RefusedKeyFilter refusedWithoutEntry = new RefusedKeyFilter();
    private final Map<ScopedKey, Entry<T>> entries = new HashMap<>();
    private final TreeMap<Long, List<ScopedKey>> byIssueTime = new TreeMap<>();
    /** Finished requests with a stored outcome, oldest first. */
    private final Set<ScopedKey> withOutcome = new LinkedHashSet<>();

    private long outcomeBytes;

    private record ScopedKey(String workspace, RequestKey key) {}

    private static final class Entry<T> {
        final String fingerprint;
        final CompletableFuture<Result<T>> end = new CompletableFuture<>();
        boolean ended;

        @Nullable
        T outcome;

        long bytes;

        @Nullable
        Refusal refusal;

        Entry(String fingerprint) {
            this.fingerprint = fingerprint;
        }
    }

    /** Creates an empty registry; the sizer tells how many bytes an outcome occupies. */
    public RequestRegistry(String incarnation, Clock clock, RegistryLimits limits, ToLongFunction<T> sizer) {
        this.incarnation = incarnation;
        this.clock = clock;
        this.limits = limits;
        this.sizer = sizer;
    }

    /** Decides about a request. The fingerprint identifies its method, path and body. */
    public Admission<T> admit(RequestKey key, String workspace, String fingerprint) {
        if (!key.owner().equals(incarnation)) {
            return new Admission.RelayToOwner<>(key.owner());
        }
        return decide(key, workspace, fingerprint);
    }

    /**
     * Decides about a repeatable request whose owner cannot be reached. Refusals of such a request state that the
     * outcome is unknown, because the owner may have run it.
     */
    public Admission<T> admitForUnreachableOwner(RequestKey key, String workspace, String fingerprint) {
        return decide(key, workspace, fingerprint);
    }

    private synchronized Admission<T> decide(RequestKey key, String workspace, String fingerprint) {
        removeExpired();
        ScopedKey id = new ScopedKey(workspace, key);
        Entry<T> entry = entries.get(id);
        if (entry != null) {
            return known(entry, fingerprint);
        }
        long age = age(key);
        if (age > limits.keyLifetime().toSeconds()) {
            return new Admission.Refused<>(Refusal.of(
                    ResultCode.KEY_EXPIRED,
                    "The key was issued " + age + " s ago, more than the key lifetime of "
                            + limits.keyLifetime().toSeconds() + " s. Check whether the request took effect."));
        }
        if (isTooFarAhead(key)) {
            refusedWithoutEntry.add(workspace, key);
            return new Admission.Refused<>(effective(
                    key,
                    Refusal.of(
                            ResultCode.KEY_MALFORMED,
                            "The key was issued " + -age
                                    + " s ahead of the router's clock. Use the time of the address answer.")));
        }
        if (entries.size() >= limits.maxKeys() || refusedWithoutEntry.mayContain(workspace, key)) {
            refusedWithoutEntry.add(workspace, key);
            return new Admission.Refused<>(effective(
                    key,
                    Refusal.of(
                                    ResultCode.REGISTRY_FULL,
                                    "The router remembers " + limits.maxKeys() + " requests. Retry with a new key.")
                            .retryAfter(1)));
        }
        insert(id, new Entry<>(fingerprint));
        return new Admission.Run<>();
    }

    private Admission<T> known(Entry<T> entry, String fingerprint) {
        if (!entry.fingerprint.equals(fingerprint)) {
            return new Admission.Refused<>(Refusal.of(
                    ResultCode.KEY_REUSED, "The key was used for a request with another body. Use a new key."));
        }
        if (!entry.ended) {
            return new Admission.Join<>(entry.end);
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
                Refusal.of(ResultCode.OUTCOME_UNKNOWN, "The request has run, but its result is not kept any more."));
    }

    /** Stores the outcome of a running request and completes the stages of the callers that joined it. */
    public void complete(RequestKey key, String workspace, T outcome) {
        Entry<T> entry;
        synchronized (this) {
            ScopedKey id = new ScopedKey(workspace, key);
            entry = entries.get(id);
            if (entry == null || entry.ended) {
                return;
            }
            entry.ended = true;
            long bytes = sizer.applyAsLong(outcome);
            if (bytes <= limits.maxBytesPerOutcome() && bytes <= limits.maxOutcomeBytes()) {
                entry.outcome = outcome;
                entry.bytes = bytes;
                outcomeBytes += bytes;
                withOutcome.add(id);
                pushOutOutcomes();
            }
            removeExpired();
        }
        entry.end.complete(Result.ok(outcome));
    }

    /**
     * Remembers that a request was refused; it never runs under this key. Returns the refusal to answer with: for a
     * request of an unreachable owner, a refusal that states "not run" becomes {@code OUTCOME_UNKNOWN}.
     */
    public Refusal refuse(RequestKey key, String workspace, String fingerprint, Refusal refusal) {
        Refusal effective = effective(key, refusal);
        Entry<T> entry;
        synchronized (this) {
            ScopedKey id = new ScopedKey(workspace, key);
            entry = entries.get(id);
            if (entry == null) {
                if (entries.size() >= limits.maxKeys() || isTooFarAhead(key)) {
                    refusedWithoutEntry.add(workspace, key);
                    return effective;
                }
                entry = new Entry<>(fingerprint);
                insert(id, entry);
            }
            if (entry.ended) {
                return effective;
            }
            entry.ended = true;
            entry.refusal = effective;
            removeExpired();
        }
        entry.end.complete(Result.refused(effective));
        return effective;
    }

    /** Returns the number of remembered keys. */
    public synchronized int size() {
        return entries.size();
    }

    /** Returns the bytes of the stored outcomes. */
    public synchronized long outcomeBytes() {
        return outcomeBytes;
    }

    private void insert(ScopedKey id, Entry<T> entry) {
        entries.put(id, entry);
        byIssueTime
                .computeIfAbsent(id.key().issuedEpochSecond(), s -> new ArrayList<>())
                .add(id);
    }

    private long age(RequestKey key) {
        return clock.instant().getEpochSecond() - key.issuedEpochSecond();
    }

    /** An entry for such a key would stay until long after its time has come. */
    private boolean isTooFarAhead(RequestKey key) {
        return -age(key) > RegistryLimits.MAX_FUTURE_SKEW.toSeconds();
    }

    private Refusal effective(RequestKey key, Refusal refusal) {
        if (key.owner().equals(incarnation) || refusal.code().ran() == Ran.UNKNOWN) {
            return refusal;
        }
        return Refusal.of(
                ResultCode.OUTCOME_UNKNOWN,
                "The router that owns the key cannot be reached and may have run the request; here it was refused: "
                        + refusal.detail());
    }

    private void pushOutOutcomes() {
        var oldest = withOutcome.iterator();
        while (outcomeBytes > limits.maxOutcomeBytes() && oldest.hasNext()) {
            forgetOutcome(oldest.next());
            oldest.remove();
        }
    }

    private void forgetOutcome(ScopedKey id) {
        Entry<T> entry = entries.get(id);
        if (entry != null) {
            outcomeBytes -= entry.bytes;
            entry.bytes = 0;
            entry.outcome = null;
        }
    }

    /** Removes ended requests whose keys have expired: such a key is refused by its age alone. */
    private void removeExpired() {
        long oldestValid =
                clock.instant().getEpochSecond() - limits.keyLifetime().toSeconds();
        var expired = byIssueTime.headMap(oldestValid).values().iterator();
        while (expired.hasNext()) {
            List<ScopedKey> ids = expired.next();
            ids.removeIf(this::removeIfEnded);
            if (ids.isEmpty()) {
                expired.remove();
            }
        }
    }

    private boolean removeIfEnded(ScopedKey id) {
        Entry<T> entry = entries.get(id);
        if (entry != null && !entry.ended) {
            return false;
        }
        forgetOutcome(id);
        withOutcome.remove(id);
        entries.remove(id);
        return true;
    }
}
