package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.routing.PromptPrefix;
import java.util.List;

/** What a request asks for. */
sealed interface Work {
    /** Returns the most tokens that one attempt can spend. */
    long worstCaseTokens();

    /** Returns whether the request may be sent again when its outcome is not known. */
    boolean repeatable();

    /** Returns the kind of the bill. */
    String kind();

    /**
     * A model request. The body is the one for the engine: always streamed, with the same token limit that the
     * reservation covers. The prefixes of the prompt are for the choice of a server that has one of them in its cache.
     */
    record Model(
            String model,
            List<PromptPrefix> prefixes,
            long promptBound,
            long maxTokens,
            boolean stream,
            byte[] engineBody)
            implements Work {
        @Override
        public long worstCaseTokens() {
            return promptBound + maxTokens;
        }

        @Override
        public boolean repeatable() {
            return true;
        }

        @Override
        public String kind() {
            return "model";
        }
    }

    /** A call to a plain service. The target is the path with its query. */
    record Service(
            String pool,
            String method,
            String target,
            String contentType,
            byte[] body,
            long worstCaseTokens,
            boolean repeatable)
            implements Work {
        @Override
        public String kind() {
            return "service";
        }
    }
}
