package io.hornbeamfield.core.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The prefixes that a router expects in the cache of each backend server. Fed by the servers' cache events, which come
 * late and with gaps, and by the requests that this router sends. Thread-safe and bounded per server; the least
 * recently used prefixes are forgotten first.
 *
 * <pre>{@code
 * index.stored("runner-1", 17, "9f2c11d0a4e7b852");
 * long cached = index.cachedBytes("runner-1", prefixes);
 * }</pre>
 */
public final class PrefixIndex {
    private final int maxPrefixesPerServer;
    private final Map<String, ServerPrefixes> servers = new ConcurrentHashMap<>();

    public PrefixIndex(int maxPrefixesPerServer) {
        this.maxPrefixesPerServer = maxPrefixesPerServer;
    }

    /** Applies an event that a prefix was stored. */
    public void stored(String server, long seq, String prefixHash) {
        ofServer(server).event(seq, prefixHash, true);
    }

    /** Applies an event that a prefix was evicted. */
    public void evicted(String server, long seq, String prefixHash) {
        ofServer(server).event(seq, prefixHash, false);
    }

    /** Records that a request with these prefixes was sent, so that the next one finds them before the event comes. */
    public void sent(String server, List<PromptPrefix> prefixes) {
        ofServer(server).sent(prefixes);
    }

    /** Returns the length of the longest of the given prefixes that the server is believed to have, 0 if none. */
    public long cachedBytes(String server, List<PromptPrefix> prefixes) {
        ServerPrefixes known = servers.get(server);
        return known == null ? 0 : known.cachedBytes(prefixes);
    }

    /** Forgets a server that has left or was replaced. */
    public void forget(String server) {
        servers.remove(server);
    }

    /** Returns the number of prefixes that are kept for a server. */
    public int size(String server) {
        ServerPrefixes known = servers.get(server);
        return known == null ? 0 : known.size();
    }

    private ServerPrefixes ofServer(String server) {
        return servers.computeIfAbsent(server, s -> new ServerPrefixes(maxPrefixesPerServer));
    }

    /** Prefixes of one server in the order of their last use. */
    private static final class ServerPrefixes {
        private final int limit;
        private final LinkedHashMap<String, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true);
        private long lastSeq;

        ServerPrefixes(int limit) {
            this.limit = limit;
        }

        synchronized void event(long seq, String hash, boolean stored) {
            if (seq == lastSeq) {
                return;
            }
            if (seq < lastSeq) {
                // The numbers of a server start again only when it has restarted with an empty cache.
                prefixes.clear();
            } else if (lastSeq > 0) {
                dropOldest(seq - lastSeq - 1);
            }
            lastSeq = seq;
            if (stored) {
                put(hash);
            } else {
                prefixes.remove(hash);
            }
        }

        /** Each missing event may be an eviction, and a server evicts what it has not used for longest. */
        private void dropOldest(long missing) {
            Iterator<String> oldest = prefixes.keySet().iterator();
            for (long i = 0; i < missing && oldest.hasNext(); i++) {
                oldest.next();
                oldest.remove();
            }
        }

        synchronized void sent(List<PromptPrefix> sent) {
            sent.forEach(p -> put(p.hash()));
        }

        private void put(String hash) {
            prefixes.put(hash, Boolean.TRUE);
            if (prefixes.size() > limit) {
                dropOldest(1);
            }
        }

        synchronized long cachedBytes(List<PromptPrefix> wanted) {
            for (int i = wanted.size() - 1; i >= 0; i--) {
                // containsKey leaves the order of use as it is: asking is not using.
                if (prefixes.containsKey(wanted.get(i).hash())) {
                    return wanted.get(i).bytes();
                }
            }
            return 0;
        }

        synchronized int size() {
            return prefixes.size();
        }
    }
}
