package io.hornbeamfield.core.stream;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Finds out which version began a stream that a caller takes up and that this instance does not remember, from what
 * other instances remember and from the versions that may have begun streams until now. Not thread-safe.
 *
 * <pre>{@code
 * OriginLookup lookup = new OriginLookup("model", Set.of("instance-2", "instance-3"));
 * lookup.instanceAnswered("instance-2", Optional.empty());
 * lookup.recordRead(record, registered);
 * lookup.result();
 * }</pre>
 */
public final class OriginLookup {
    private final String service;
    private final Set<String> unanswered;
    private Optional<Result> certain = Optional.empty();
    private boolean recordPending = true;

    /** What is known about the origin of a stream. */
    public sealed interface Result {
        /** The stream may go on at servers of this version only. */
        record Known(String version) implements Result {}

        /** It is not certain which version began the stream, so that it may not go on. */
        record Unknown() implements Result {}
    }

    /**
     * Starts a lookup.
     *
     * @param service service to which the stream's request is sent
     * @param instances the instances that are asked
     */
    public OriginLookup(String service, Set<String> instances) {
        this.service = service;
        this.unanswered = new HashSet<>(instances);
    }

    /** Returns what an origin that is remembered proves for a request to a service. */
    public static Result of(StreamOrigin origin, String service) {
        return origin.service().equals(service) && origin.version().isPresent()
                ? new Result.Known(origin.version().get())
                : new Result.Unknown();
    }

    /** Records the answer of an instance; empty if it does not remember the stream. */
    public void instanceAnswered(String instance, Optional<StreamOrigin> origin) {
        unanswered.remove(instance);
        if (certain.isEmpty()) {
            certain = origin.map(o -> of(o, service));
        }
    }

    /**
     * Records the versions that the store named in a read that began after the request had arrived.
     *
     * @param registered versions of the service that its present registrations name; one that the record lacks shows
     *     that the record is incomplete, for example because it was deleted
     */
    public void recordRead(VersionRecord record, Set<String> registered) {
        recordPending = false;
        Set<String> versions = record.of(service);
        if (certain.isEmpty() && versions.size() == 1 && versions.containsAll(registered)) {
            certain = Optional.of(new Result.Known(versions.iterator().next()));
        }
    }

    /** Records that the store has not named the versions. */
    public void recordUnread() {
        recordPending = false;
    }

    /** Returns the service of the request that takes the stream up. */
    public String service() {
        return service;
    }

    /** Records that a further instance is asked, or one again. */
    public void asked(String instance) {
        unanswered.add(instance);
    }

    /** Returns whether an instance was asked and has not answered. */
    public boolean awaits(String instance) {
        return unanswered.contains(instance);
    }

    /** Returns whether any instance was asked and has not answered. */
    public boolean awaitsInstances() {
        return !unanswered.isEmpty();
    }

    /** Ends the lookup, whoever has not answered. */
    public void timedOut() {
        unanswered.clear();
        recordPending = false;
    }

    /** Returns the result, empty while a further answer may decide. */
    public Optional<Result> result() {
        if (certain.isEmpty() && unanswered.isEmpty() && !recordPending) {
            return Optional.of(new Result.Unknown());
        }
        return certain;
    }
}
