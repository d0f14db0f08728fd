package io.hornbeamfield.router.control.internal;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.hornbeamfield.net.http.CallFailure;
import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.net.http.OpenStream;
import io.hornbeamfield.net.http.StreamListener;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/** Backend servers that answer by path; servers without an answer refuse the connection. */
final class FakeHttp implements HttpClient {
    final Map<String, String> answers = new HashMap<>();
    final List<String> orders = new ArrayList<>();
    final List<String> gets = new ArrayList<>();
    int orderStatus = 200;

    @Override
    public CompletableFuture<HttpReply> send(HttpCall call) {
        String place = call.uri().getAuthority() + call.uri().getPath();
        if (call.method().equals("POST")) {
            orders.add(call.uri().getAuthority() + " " + new String(call.body(), UTF_8));
            return CompletableFuture.completedFuture(new HttpReply(orderStatus, Map.of(), new byte[0]));
        }
        gets.add(place);
        String answer = answers.get(place);
        if (answer == null) {
            return CompletableFuture.failedFuture(new CallFailure(CallFailure.Kind.CONNECT_FAILED, "refused"));
        }
        return CompletableFuture.completedFuture(new HttpReply(200, Map.of(), answer.getBytes(UTF_8)));
    }

    @Override
    public OpenStream open(HttpCall call, StreamListener listener) {
        throw new UnsupportedOperationException("Controllers open no streams.");
    }

    @Override
    public OpenStream open(HttpCall call, Executor executor, StreamListener listener) {
        return open(call, listener);
    }

    @Override
    public void close() {}
}
