package io.hornbeamfield.load.routing;

import io.hornbeamfield.core.routing.PromptPrefix;
import java.util.List;

/** A request of a trace. A token of the prompt is taken as four bytes. */
record TraceRequest(
        int id, long atMicros, String workspace, String zone, List<PromptPrefix> prefixes, int outputTokens) {
    static final int BYTES_PER_TOKEN = 4;

    int promptTokens() {
        return (int) (prefixes.get(prefixes.size() - 1).bytes() / BYTES_PER_TOKEN);
    }
}
