import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in for the platform's metadata store: objects by kind and name, one revision counter, conditional writes,
 * lists, and watches that wait. It keeps all history and loses nothing. Specs are kept as JSON text.
 */
final class Store {
    private static final Pattern REVISION = Pattern.compile("\"revision\"\\s*:\\s*(\\d+)");
    private static final Pattern NAME = Pattern.compile("\"name\"\\s*:\\s*\"([^\"]*)\"");

    private record Obj(String name, long revision, long created, String spec) {
        String json() {
            return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision + ",\"created-rev\":" + created
                    + ",\"finalizers\":[],\"delete-pending\":false},\"spec\":" + spec + ",\"status\":null}";
        }
    }

    private record Event(long revision, String kind, boolean tombstone, Obj object) {}

    private final Map<String, TreeMap<String, Obj>> kinds = new HashMap<>();
    private final List<Event> events = new ArrayList<>();
    private final HttpServer server;
    private long revision = 1;

    Store(String ip) throws IOException {
        server = HttpServer.create(new InetSocketAddress(ip, 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(r, "store");
            t.setDaemon(true);
            return t;
        }));
        server.createContext("/objects/", this::handle);
        server.start();
    }

    String address() {
        return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
    }

    /** Writes an object without a condition, as operators and runners do. Returns its revision. */
    synchronized long put(String kind, String name, String spec) {
        Obj old = kind(kind).get(name);
        Obj next = new Obj(name, ++revision, old == null ? revision : old.created(), spec);
        kind(kind).put(name, next);
        events.add(new Event(revision, kind, false, next));
        notifyAll();
        return revision;
    }

    synchronized void remove(String kind, String name) {
        Obj old = kind(kind).remove(name);
        if (old != null) {
            events.add(new Event(++revision, kind, true, new Obj(name, revision, old.created(), old.spec())));
            notifyAll();
        }
    }

    synchronized String spec(String kind, String name) {
        Obj o = kind(kind).get(name);
        return o == null ? null : o.spec();
    }

    private TreeMap<String, Obj> kind(String kind) {
        return kinds.computeIfAbsent(kind, k -> new TreeMap<>());
    }

    private void handle(HttpExchange x) throws IOException {
        String[] path = x.getRequestURI().getRawPath().substring("/objects/".length()).split("/");
        String kind = path[0];
        String name = path.length > 1 ? java.net.URLDecoder.decode(path[1], StandardCharsets.UTF_8) : null;
        Map<String, String> query = new HashMap<>();
        String raw = x.getRequestURI().getRawQuery();
        for (String p : raw == null ? new String[0] : raw.split("&")) {
            int eq = p.indexOf('=');
            if (eq > 0) {
                query.put(p.substring(0, eq), java.net.URLDecoder.decode(p.substring(eq + 1), StandardCharsets.UTF_8));
            }
        }
        String body = new String(x.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        switch (x.getRequestMethod()) {
            case "GET" -> {
                if (name != null) {
                    Obj o;
                    synchronized (this) {
                        o = kind(kind).get(name);
                    }
                    reply(x, o == null ? 404 : 200, o == null ? "{}" : o.json());
                } else if (query.containsKey("watch")) {
                    reply(x, 200, watch(kind, Long.parseLong(query.get("watch")), query.get("wait-ms")));
                } else {
                    reply(x, 200, list(kind));
                }
            }
            case "POST" -> write(x, kind, nameIn(body), body, null, true);
            case "PUT" -> write(x, kind, name, body, revisionIn(body), false);
            case "DELETE" -> delete(x, kind, name, query.get("revision"));
            default -> reply(x, 405, "{}");
        }
    }

    private static String metadata(String body) {
        int spec = body.indexOf("\"spec\"");
        return spec < 0 ? body : body.substring(0, spec);
    }

    private static Long revisionIn(String body) {
        Matcher m = REVISION.matcher(metadata(body));
        return m.find() ? Long.valueOf(m.group(1)) : null;
    }

    private static String nameIn(String body) {
        Matcher m = NAME.matcher(metadata(body));
        return m.find() ? m.group(1) : "";
    }

    /** The daemon sends {"metadata":{..},"spec":..}: the spec is the rest of the object. */
    private static String specIn(String body) {
        int at = body.indexOf("\"spec\":") + "\"spec\":".length();
        return body.substring(at, body.lastIndexOf('}'));
    }

    private synchronized String list(String kind) {
        StringBuilder items = new StringBuilder();
        kind(kind).values().forEach(o -> items.append(items.length() == 0 ? "" : ",").append(o.json()));
        return "{\"items\":[" + items + "],\"has-more\":false,\"at\":" + revision + "}";
    }

    private synchronized String watch(String kind, long since, String waitMs) {
        long end = System.nanoTime() + Long.parseLong(waitMs == null ? "0" : waitMs) * 1_000_000;
        while (true) {
            StringBuilder found = new StringBuilder();
            for (Event e : events) {
                if (e.revision() > since && e.kind().equals(kind)) {
                    found.append(found.length() == 0 ? "" : ",")
                            .append("{\"tombstone\":" + e.tombstone() + ",\"object\":" + e.object().json() + "}");
                }
            }
            long leftMs = (end - System.nanoTime()) / 1_000_000;
            if (found.length() > 0 || leftMs <= 0) {
                return "{\"events\":[" + found + "],\"at\":" + revision + "}";
            }
            try {
                wait(leftMs);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return "{\"events\":[],\"at\":" + since + "}";
            }
        }
    }

    private void write(HttpExchange x, String kind, String name, String body, Long expected, boolean create)
            throws IOException {
        int status;
        Obj result;
        synchronized (this) {
            Obj old = kind(kind).get(name);
            if (create ? old != null : old == null || (expected != null && expected != old.revision())) {
                status = old == null ? 404 : 409;
                result = old;
            } else {
                status = 200;
                if (old == null || !old.spec().equals(specIn(body))) {
                    put(kind, name, specIn(body));
                }
                result = kind(kind).get(name);
            }
        }
        reply(x, status, result == null ? "{}" : result.json());
    }

    private void delete(HttpExchange x, String kind, String name, String expected) throws IOException {
        Obj old;
        boolean match;
        synchronized (this) {
            old = kind(kind).get(name);
            match = old != null && (expected == null || Long.parseLong(expected) == old.revision());
            if (match) {
                remove(kind, name);
            }
        }
        reply(x, old == null ? 404 : match ? 200 : 409, old == null ? "{}" : old.json());
    }

    private static void reply(HttpExchange x, int status, String json) throws IOException {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        x.getResponseHeaders().set("Content-Type", "application/json");
        x.sendResponseHeaders(status, bytes.length);
        try (OutputStream out = x.getResponseBody()) {
            out.write(bytes);
        }
    }
}
