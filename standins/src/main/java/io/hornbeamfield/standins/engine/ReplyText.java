package io.hornbeamfield.standins.engine;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The text that the simulated engines answer. It depends only on the workspace, the messages and {@code max_tokens}, so
 * that a test can compute the whole answer and detect a missing part or an answer to another request.
 *
 * <pre>{@code
 * ReplyText expected = ReplyText.of("plots", messages, 64);
 * assertThat(answer).isEqualTo(expected.whole());
 * }</pre>
 */
public record ReplyText(String hash, int tokens) {
    private static final int HASH_DIGITS = 8;
    private static final int IDENTITY_DIGITS = 16;

    /** Returns the answer to a request. Up to a quarter of the allowed tokens is left unused. */
    public static ReplyText of(String workspace, List<ChatMessage> messages, int maxTokens) {
        String hash = identity(workspace, messages).substring(0, HASH_DIGITS);
        int unused = (int) (Long.parseLong(hash, 16) % (maxTokens / 4 + 1));
        return new ReplyText(hash, maxTokens - unused);
    }

    /** Identifies the content of a request; its first 8 digits are the hash in the answer. */
    public static String identity(String workspace, List<ChatMessage> messages) {
        Hasher h = Hashing.sha256().newHasher().putString(workspace, StandardCharsets.UTF_8);
        messages.forEach(m -> h.putString("\n" + m.role() + "\n" + m.content(), StandardCharsets.UTF_8));
        return h.hash().toString().substring(0, IDENTITY_DIGITS);
    }

    /** Returns a token with the space that separates it from the one before. */
    public String token(int index) {
        return (index == 0 ? "" : " ") + "w-" + hash + "-" + index;
    }

    /** Returns the tokens from the first to one before the last index. */
    public String part(int from, int to) {
        StringBuilder text = new StringBuilder();
        for (int i = from; i < to; i++) {
            text.append(token(i));
        }
        return text.toString();
    }

    /** Returns the whole answer. */
    public String whole() {
        return part(0, tokens);
    }
}
