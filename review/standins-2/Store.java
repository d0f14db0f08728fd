import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's store: objects by kind and name, conditional writes, lists and watches (PROTOCOL.md). */
final class Store implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** Response time that the sheets name. */
    private static final long ANSWER_MS = 4;

    private record Change(String kind, long revision, ObjectNode object, boolean removed) {}

    private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private final List<HttpServer> servers = new ArrayList<>();
    private long revision = 1;
    private volatile boolean silent;
    private volatile boolean closed;

    /** Opens an address at which the store can be reached. */
    String listen() throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(r, "store");
            t.setDaemon(true);
            return t;
        }));
        server.createContext("/", this::handle);
        server.start();
        servers.add(server);
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** While silent, the store answers no call; calls that came in this time are never answered nor executed. */
    void silent(boolean next) {
        synchronized (this) {
            silent = next;
            notifyAll();
        }
    }

    synchronized JsonNode put(String kind, String name, JsonNode spec) {
        return store(kind, name, spec);
    }

    synchronized JsonNode spec(String kind, String name) {
        ObjectNode o = kind(kind).get(name);
        return o == null ? JSON.createObjectNode() : o.path("spec").deepCopy();
    }

    private TreeMap<String, ObjectNode> kind(String kind) {
        return kinds.computeIfAbsent(kind, k -> new TreeMap<>());
    }

    private ObjectNode store(String kind, String name, JsonNode spec) {
        ObjectNode before = kind(kind).get(name);
        if (before != null && before.path("spec").equals(spec)) {
            return before;
        }
        revision++;
        ObjectNode o = JSON.createObjectNode();
        o.putObject("metadata")
                .put("name", name)
                .put("revision", revision)
                .put("created-rev", before == null ? revision : before.path("metadata").path("created-rev").asLong())
                .put("delete-pending", false)
                .putArray("finalizers");
        o.set("spec", spec);
        o.putObject("status");
        kind(kind).put(name, o);
        changed(kind, o, false);
        return o;
    }

    private void changed(String kind, ObjectNode o, boolean removed) {
        history.add(new Change(kind, revision, o, removed));
        notifyAll();
    }

    private void handle(HttpExchange x) throws IOException {
        try {
            byte[] body = x.getRequestBody().readAllBytes();
            if (isUnanswered()) {
                hang();
            }
            Thread.sleep(ANSWER_MS);
            if (isUnanswered()) {
                hang();
            }
            String[] path = x.getRequestURI().getPath().split("/");
            Map<String, String> query = query(x.getRequestURI().getQuery());
            String name = path.length > 3 ? path[3] : "";
            if (!x.getRequestMethod().equals("GET")) {
                write(x, path[2], name, query, body);
            } else if (query.containsKey("watch")) {
                watch(x, path[2], Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait-ms", "0")));
            } else {
                read(x, path[2], name);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean isUnanswered() {
        return silent;
    }

    /** The connection stays open and returns nothing further. */
    private void hang() throws InterruptedException {
        while (!closed) {
            Thread.sleep(1_000);
        }
    }

    private void read(HttpExchange x, String kind, String name) throws IOException {
        ObjectNode reply = JSON.createObjectNode();
        int status = 200;
        synchronized (this) {
            if (name.isEmpty()) {
                ArrayNode items = reply.putArray("items");
                kind(kind).values().forEach(items::add);
                reply.put("has-more", false).put("at", revision);
            } else if (kind(kind).containsKey(name)) {
                reply = kind(kind).get(name);
            } else {
                status = 404;
            }
        }
        answer(x, status, reply);
    }

    private void watch(HttpExchange x, String kind, long since, long waitMs) throws IOException, InterruptedException {
        long end = System.nanoTime() + waitMs * 1_000_000;
        ObjectNode reply = JSON.createObjectNode();
        ArrayNode events = reply.putArray("events");
        boolean dead = false;
        synchronized (this) {
            while (true) {
                dead = silent;
                if (!dead) {
                    for (Change c : history) {
                        if (c.kind().equals(kind) && c.revision() > since) {
                            events.addObject().put("tombstone", c.removed()).set("object", c.object());
                        }
                    }
                }
                long left = (end - System.nanoTime()) / 1_000_000;
                if (dead || !events.isEmpty() || left <= 0) {
                    break;
                }
                wait(left);
            }
            reply.put("at", revision);
        }
        if (dead) {
            hang();
        }
        answer(x, 200, reply);
    }

    private void write(HttpExchange x, String kind, String pathName, Map<String, String> query, byte[] bytes)
            throws IOException {
        JsonNode body = bytes.length == 0 ? JSON.createObjectNode() : JSON.readTree(bytes);
        boolean create = x.getRequestMethod().equals("POST");
        String name = create ? body.path("metadata").path("name").asText() : pathName;
        JsonNode condition = query.containsKey("revision")
                ? JSON.getNodeFactory().numberNode(Long.parseLong(query.get("revision")))
                : body.path("metadata").path("revision");
        int status = 200;
        ObjectNode result;
        synchronized (this) {
            ObjectNode current = kind(kind).get(name);
            result = current == null ? JSON.createObjectNode() : current;
            if (create == (current != null)) {
                status = create ? 409 : 404;
            } else if (condition.isNumber()
                    && condition.asLong() != result.path("metadata").path("revision").asLong()) {
                status = 409;
            } else if (x.getRequestMethod().equals("DELETE")) {
                kind(kind).remove(name);
                revision++;
                changed(kind, result, true);
            } else {
                result = store(kind, name, body.path("spec"));
            }
        }
        answer(x, status, result);
    }

    private static void answer(HttpExchange x, int status, JsonNode body) throws IOException {
        byte[] bytes = JSON.writeValueAsBytes(body);
        x.getResponseHeaders().set("Content-Type", "application/json");
        x.sendResponseHeaders(status, bytes.length);
        x.getResponseBody().write(bytes);
        x.close();
    }

    private static Map<String, String> query(String text) {
        Map<String, String> map = new HashMap<>();
        for (String part : (text == null ? "" : text).split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) {
                map.put(part.substring(0, equals), part.substring(equals + 1));
            }
        }
        return map;
    }

    @Override
    public void close() {
        closed = true;
        servers.forEach(s -> s.stop(0));
    }
}
