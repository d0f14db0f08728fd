package io.hornbeamfield.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * The available strategies for selecting a backend server.
 *
 * <pre>{@code
 * BackendChooser chooser = BackendChoosers.leastOutstanding();
 * }</pre>
 */
public final class BackendChoosers {
    /** Number of uncached prompt bytes whose cost equals that of one queued request. */
    public static final long BYTES_PER_QUEUED_REQUEST = 500;

    private BackendChoosers() {}

    /** Returns the prefix-aware strategy with {@link #BYTES_PER_QUEUED_REQUEST}. */
    public static BackendChooser prefixAware(PrefixIndex index) {
        return prefixAware(index, BYTES_PER_QUEUED_REQUEST);
    }

    /**
     * Returns a strategy that minimizes queued requests plus uncached prompt bytes. Ties are broken by rendezvous
     * hashing of the first prefix, so that requests with the same prefix go to one server even before its first cache
     * event.
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
                    view -> (double) estimatedQueueLength(view) * bytesPerQueuedRequest
                            + request.promptBytes()
                            - index.cachedBytes(view.id(), request.prefixes()));
        };
    }

    /** Returns a strategy that uses the servers in turn. */
    public static BackendChooser roundRobin() {
        AtomicLong next = new AtomicLong();
        return (request, servers) -> {
            List<BackendView> usable = usable(request, servers);
            return usable.isEmpty()
                    ? Optional.empty()
                    : Optional.of(usable.get((int) Math.floorMod(next.getAndIncrement(), (long) usable.size())));
        };
    }

    /** Returns a strategy that selects the server with the fewest outstanding requests of this router. */
    public static BackendChooser leastOutstanding() {
        AtomicLong turn = new AtomicLong();
        return (request, servers) ->
                cheapest(request, servers, Long.toString(turn.getAndIncrement()), BackendView::outstanding);
    }

    /** Returns a strategy that picks two servers at random and selects the one with fewer outstanding requests. */
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

    /** Returns the estimated queue length: the last report, corrected by requests that were sent or finished since. */
    public static int estimatedQueueLength(BackendView view) {
        int estimate =
                view.reportedRunning() + view.reportedWaiting() + view.sentSinceReport() - view.finishedSinceReport();
        // The router's own outstanding requests are a lower bound, whatever an outdated report says.
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
