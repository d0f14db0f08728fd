package io.hornbeamfield.core.routing;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A prefix of a prompt, from its start to the end of one message: its hash and its length in UTF-8 bytes. The hash is
 * the first 16 hexadecimal digits of SHA-256 over the hash of the preceding prefix, the role and the content.
 *
 * <pre>{@code
 * List<PromptPrefix> prefixes = PromptPrefix.builder().message("system", rules).message("user", question).build();
 * }</pre>
 */
public record PromptPrefix(String hash, long bytes) {
    private static final int HASH_DIGITS = 16;

    /** Starts a builder for the prefixes of one prompt. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds the prefixes of a prompt, the shortest first. */
    public static final class Builder {
        private final List<PromptPrefix> prefixes = new ArrayList<>();
        private String last = "";
        private long bytes;

        private Builder() {}

        /** Appends a message. */
        public Builder message(String role, String content) {
            byte[] text = content.getBytes(StandardCharsets.UTF_8);
            Hasher h = Hashing.sha256().newHasher();
            h.putString(last + "\n" + role + "\n", StandardCharsets.UTF_8).putBytes(text);
            last = h.hash().toString().substring(0, HASH_DIGITS);
            bytes += text.length;
            prefixes.add(new PromptPrefix(last, bytes));
            return this;
        }

        /** Returns the prefixes, the shortest first. */
        public List<PromptPrefix> build() {
            return List.copyOf(prefixes);
        }
    }
}
