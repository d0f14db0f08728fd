package io.hornbeamfield.core.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Index of the prompt prefixes that a router assumes to be cached by each backend server. It is updated by the servers'
 * cache events, which may be delayed or lost, and by the requests that this router sends. Thread-safe and bounded per
 * server; the least recently used prefixes are evicted first.
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

    /** Applies a server's event that a prefix was stored in its cache. */
    public void stored(String server, long seq, String prefixHash) {
        ofServer(server).event(seq, prefixHash, true);
    }

    /** Applies a server's event that a prefix was evicted from its cache. */
    public void evicted(String server, long seq, String prefixHash) {
        ofServer(server).event(seq, prefixHash, false);
    }

    /** Records a request with these prefixes, so that they count as cached before the cache event arrives. */
    public void sent(String server, List<PromptPrefix> prefixes) {
        ofServer(server).sent(prefixes);
    }

    /** Returns the length of the longest given prefix that the server is assumed to have cached, 0 if none. */
    public long cachedBytes(String server, List<PromptPrefix> prefixes) {
        ServerPrefixes known = servers.get(server);
        return known == null ? 0 : known.cachedBytes(prefixes);
    }

    /** Removes a server that has left or was replaced. */
    public void forget(String server) {
        servers.remove(server);
    }

    /** Returns the number of prefixes in the index of a server. */
    public int size(String server) {
        ServerPrefixes known = servers.get(server);
        return known == null ? 0 : known.size();
    }

    private ServerPrefixes ofServer(String server) {
        return servers.computeIfAbsent(server, s -> new ServerPrefixes(maxPrefixesPerServer));
    }

    /** The prefixes of one server in order of their last use. */
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
                // The sequence numbers of a server restart only when the server has restarted with an empty cache.
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

        /**
         * Drops one prefix for each missing event: it may be an eviction, and servers evict the least recently used
         * one.
         */
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
                // containsKey does not change the access order, so a lookup does not count as a use.
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
