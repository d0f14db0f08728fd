package io.hornbeamfield.standins.engine.internal;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamfield.net.http.ResponseStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executor;

/**
 * Sends the tokens of a run to one reader as server-sent events. Writes happen on an executor, because a write blocks
 * while the reader does not read, and a reader that stands still must not stop the batch.
 */
final class TokenStream {
    private static final int TOKENS_BEFORE_SILENCE = 2;

    private final Run run;
    private final ResponseStream out;
    private final Executor executor;
    private final boolean goesSilent;
    private int next;
    private boolean pumping;
    private boolean signalled;
    private boolean ended;

    TokenStream(Run run, int from, ResponseStream out, Executor executor, boolean goesSilent) {
        this.run = run;
        this.next = from;
        this.out = out;
        this.executor = executor;
        this.goesSilent = goesSilent;
    }

    void start() {
        run.observe(this::signal);
        signal();
    }

    private synchronized void signal() {
        signalled = true;
        if (!pumping && !ended) {
            pumping = true;
            executor.execute(this::pump);
        }
    }

    private void pump() {
        while (takeSignal()) {
            boolean finished = run.ended();
            int available = run.produced();
            boolean open = writeTokens(available);
            if (!open || (finished && !goesSilent)) {
                finish(open);
            }
        }
    }

    private synchronized boolean takeSignal() {
        boolean more = signalled && !ended;
        signalled = false;
        pumping = more;
        return more;
    }

    private boolean writeTokens(int available) {
        int limit = goesSilent ? Math.min(available, TOKENS_BEFORE_SILENCE) : available;
        while (next < limit) {
            ObjectNode chunk = chunk(next);
            delta(chunk).put("content", run.reply().token(next));
            if (!write(chunk.toString())) {
                return false;
            }
            next++;
        }
        return true;
    }

    private void finish(boolean open) {
        if (open) {
            ObjectNode last = chunk(next);
            delta(last);
            ((ObjectNode) last.path("choices").path(0)).put("finish_reason", run.finishReason());
            last.set("usage", EngineJson.usage(run));
            write(last.toString());
            write("[DONE]");
            out.end();
        } else {
            out.abort();
        }
        synchronized (this) {
            ended = true;
        }
    }

    private boolean write(String data) {
        return out.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    }

    private ObjectNode chunk(int offset) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("id", run.request().id())
                .put("offset", offset);
    }

    private static ObjectNode delta(ObjectNode chunk) {
        ObjectNode choice =
                chunk.putArray("choices").addObject().put("index", 0).putNull("finish_reason");
        return choice.putObject("delta");
    }
}
