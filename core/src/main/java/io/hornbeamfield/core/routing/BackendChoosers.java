package io.hornbeamfield.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * The ways to choose a backend server.
 *
 * <pre>{@code
 * BackendChooser chooser = BackendChoosers.leastOutstanding();
 * }</pre>
 */
public final class BackendChoosers {
    /** Bytes of uncached prompt that weigh as much as one request ahead. */
    public static final long BYTES_PER_QUEUED_REQUEST = 500;

    private BackendChoosers() {}

    /** The least queued work plus uncached prompt, with {@link #BYTES_PER_QUEUED_REQUEST}. */
    public static BackendChooser prefixAware(PrefixIndex index) {
        return prefixAware(index, BYTES_PER_QUEUED_REQUEST);
    }

    /**
     * The least queued work plus uncached prompt. Servers of equal cost are ordered by a rendezvous hash of the first
     * prefix, so that requests with the same prefix meet at one server before its first cache event arrives.
     */
    public static BackendChooser prefixAware(PrefixIndex index, long bytesPerQueuedRequest) {
        return (request, servers) -> {
            String affinity = request.prefixes().isEmpty()
                    ? ""
                    : request.prefixes().get(0).hash();
            return cheapest(
                    request,
                    servers,
                    affinity,
                    view -> (double) queuedAhead(view) * bytesPerQueuedRequest
                            + request.promptBytes()
                            - index.cachedBytes(view.id(), request.prefixes()));
        };
    }

    /** Each server in turn. */
    public static BackendChooser roundRobin() {
        AtomicLong next = new AtomicLong();
        return (request, servers) -> {
            List<BackendView> usable = usable(request, servers);
            return usable.isEmpty()
                    ? Optional.empty()
                    : Optional.of(usable.get((int) Math.floorMod(next.getAndIncrement(), (long) usable.size())));
        };
    }

    /** The server with the fewest requests of this router outstanding. */
    public static BackendChooser leastOutstanding() {
        AtomicLong turn = new AtomicLong();
        return (request, servers) ->
                cheapest(request, servers, Long.toString(turn.getAndIncrement()), BackendView::outstanding);
    }

    /** The one with fewer outstanding requests of two servers picked at random. */
    public static BackendChooser powerOfTwo(RandomGenerator random) {
        return (request, servers) -> {
            List<BackendView> usable = usable(request, servers);
            if (usable.size() < 2) {
                return usable.stream().findFirst();
            }
            int first;
            int second;
            synchronized (random) {
                first = random.nextInt(usable.size());
                second = random.nextInt(usable.size() - 1);
            }
            BackendView a = usable.get(first);
            BackendView b = usable.get(second < first ? second : second + 1);
            return Optional.of(b.outstanding() < a.outstanding() ? b : a);
        };
    }

    /** Returns the requests ahead of a new one: the last report, corrected by what this router sent and saw finish. */
    public static int queuedAhead(BackendView view) {
        int estimate =
                view.reportedRunning() + view.reportedWaiting() + view.sentSinceReport() - view.finishedSinceReport();
        // The router's own outstanding requests are certain, whatever a lagging report says.
        return Math.max(estimate, view.outstanding());
    }

    private static List<BackendView> usable(BackendRequest request, List<BackendView> servers) {
        return servers.stream()
                .filter(request::accepts)
                .sorted(Comparator.comparing(BackendView::id))
                .toList();
    }

    private static Optional<BackendView> cheapest(
            BackendRequest request, List<BackendView> servers, String tieKey, ToDoubleFunction<BackendView> cost) {
        return servers.stream()
                .filter(request::accepts)
                .min(Comparator.comparingDouble(cost)
                        .thenComparing(v -> -Rendezvous.weight(tieKey, v.id()))
                        .thenComparing(BackendView::id));
    }
}
