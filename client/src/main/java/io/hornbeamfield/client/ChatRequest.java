package io.hornbeamfield.client;

import java.util.ArrayList;
import java.util.List;

/**
 * A request to a model.
 *
 * <pre>{@code
 * ChatRequest.forModel("m").system("Answer briefly.").user("When to sow leeks?").maxTokens(200).build();
 * }</pre>
 */
public record ChatRequest(String model, List<Message> messages, int maxTokens, CallOptions options) {
    public ChatRequest {
        messages = List.copyOf(messages);
    }

    /** One message of the conversation. */
    public record Message(String role, String content) {}

    /** Returns a builder for a request to the given model. */
    public static Builder forModel(String model) {
        return new Builder(model);
    }

    /** Builds a {@link ChatRequest}. */
    public static final class Builder {
        private final String model;
        private final List<Message> messages = new ArrayList<>();
        private int maxTokens = 256;
        private CallOptions options = CallOptions.defaults();

        private Builder(String model) {
            this.model = model;
        }

        /** Adds a system message. */
        public Builder system(String content) {
            return message("system", content);
        }

        /** Adds a user message. */
        public Builder user(String content) {
            return message("user", content);
        }

        /** Adds a message with the given role. */
        public Builder message(String role, String content) {
            messages.add(new Message(role, content));
            return this;
        }

        /** Sets the maximum length of the answer in tokens. */
        public Builder maxTokens(int tokens) {
            this.maxTokens = tokens;
            return this;
        }

        /** Sets the budget, priority and deadline. */
        public Builder options(CallOptions value) {
            this.options = value;
            return this;
        }

        /** Builds the request. */
        public ChatRequest build() {
            return new ChatRequest(model, messages, maxTokens, options);
        }
    }
}
