package io.hornbeamfield.net.http.internal;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.time.MonotonicClock;
import io.hornbeamfield.net.http.HttpReply;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

final class CollectingListenerTest {
    /** Guards against a reply that is given up for its size and then completed with a part of its body. */
    @Test
    void aReplyThatWasGivenUpIsNotCompletedByItsEnd() {
        List<Runnable> later = new ArrayList<>();
        ReplyBuffers buffers = new ReplyBuffers(10, later::add);
        CompletableFuture<HttpReply> future = new CompletableFuture<>();
        CollectingListener reply = new CollectingListener(future, buffers, MonotonicClock.start());
        buffers.add(reply);
        reply.onHead(200, Map.of());
        reply.onData("0123456789ab".getBytes(StandardCharsets.US_ASCII));
        reply.onData("the rest".getBytes(StandardCharsets.US_ASCII));
        reply.onEnd();
        later.forEach(Runnable::run);
        assertThat(future).isCompletedExceptionally();
    }
}
