package io.hornbeamfield.standins.engine.internal;

import io.hornbeamfield.core.routing.PromptPrefix;
import io.hornbeamfield.standins.engine.ChatMessage;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/** Prefix cache with one entry per message of a prompt, bounded in tokens; the least recently used entry goes first. */
final class PrefixCache {
    private final long capacityTokens;
    private final BiConsumer<String, String> onEvent;
    private final LinkedHashMap<String, Integer> entries = new LinkedHashMap<>(16, 0.75f, true);
    private long usedTokens;

    PrefixCache(long capacityTokens, BiConsumer<String, String> onEvent) {
        this.capacityTokens = capacityTokens;
        this.onEvent = onEvent;
    }

    /** Returns the tokens that are not cached and stores the whole prompt. */
    synchronized int readThrough(ChatRequest request) {
        List<PromptPrefix> prefixes = request.prefixes();
        boolean cached = true;
        int uncached = 0;
        for (int i = 0; i < prefixes.size(); i++) {
            ChatMessage message = request.messages().get(i);
            String hash = prefixes.get(i).hash();
            cached = cached && entries.get(hash) != null;
            if (!cached) {
                uncached += message.tokens();
                store(hash, message.tokens());
            }
        }
        evict();
        return uncached;
    }

    private void store(String hash, int tokens) {
        Integer before = entries.put(hash, tokens);
        usedTokens += tokens - (before == null ? 0 : before);
        if (before == null) {
            onEvent.accept("stored", hash);
        }
    }

    private void evict() {
        Iterator<Map.Entry<String, Integer>> oldest = entries.entrySet().iterator();
        while (usedTokens > capacityTokens && oldest.hasNext()) {
            Map.Entry<String, Integer> entry = oldest.next();
            usedTokens -= entry.getValue();
            oldest.remove();
            onEvent.accept("evicted", entry.getKey());
        }
    }

    synchronized long usedTokens() {
        return usedTokens;
    }
}
