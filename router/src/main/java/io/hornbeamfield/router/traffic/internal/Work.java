package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.routing.PromptPrefix;
import java.util.List;

/** Content of a request: a model request or a call to a plain service. */
sealed interface Work {
    /** Returns the upper bound of the tokens that one attempt can spend. */
    long worstCaseTokens();

    /** Returns whether the request may be sent again when its outcome is unknown. */
    boolean repeatable();

    /** Returns the kind that is recorded on the bill. */
    String kind();

    /**
     * A model request. The engine body always asks for a stream, with the token limit that the reservation covers. The
     * prompt prefixes serve to select a server that has one of them in its cache.
     */
    record Model(
            String model,
            List<PromptPrefix> prefixes,
            long promptTokenBound,
            long maxTokens,
            boolean stream,
            byte[] engineBody)
            implements Work {
        @Override
        public long worstCaseTokens() {
            return promptTokenBound + maxTokens;
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
