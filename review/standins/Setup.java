import java.nio.charset.StandardCharsets;

/** The small deployment that the scripts share: one model service and one plain service. */
final class Setup {
    static final String KEY = "key-of-the-tenant";
    static final String MODEL = "model";
    static final String PLAIN = "plain";
    static final byte[] NONE = new byte[0];

    private Setup() {}

    /** Returns a configuration; the routes and bounds are those of the deployments' sheets. */
    static String config(long version, long prepay) {
        return "{\"version\":" + version + ",\"routes\":["
                + route("question", "streaming", MODEL, 12_000, 300, 2, true) + ","
                + route("review", "streaming", MODEL, 15_000, 600, 1, false) + ","
                + route("lookup", "idempotent", PLAIN, 1_500, 300, 2, false) + ","
                + route("posting", "non_idempotent", PLAIN, 1_500, 300, 1, false)
                + "],\"services\":[{\"name\":\"model\",\"health-path\":\"/healthz\",\"max-conns\":370,"
                + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kv-capacity\":708113,\"stride\":6,"
                + "\"models\":[{\"name\":\"m\"}]}},{\"name\":\"plain\",\"health-path\":\"/healthz\",\"max-conns\":110,"
                + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,"
                + "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
                + "\"tenants\":[{\"name\":\"tenant-a\",\"api-keys\":[\"" + KEY + "\"],\"priority\":1,\"prepay\":" + prepay
                + "}]}";
    }

    private static String route(
            String name, String kind, String service, int timeoutMs, int targetMs, int attempts, boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"shop.example\",\"path-prefix\":\"/" + name
                + "/\",\"route-kind\":\"" + kind + "\",\"timeout-ms\":" + timeoutMs + ",\"latency-target-ms\":" + targetMs
                + ",\"priority\":1,\"service\":\"" + service + "\",\"max-attempts\":" + attempts
                + ",\"public\":false,\"sticky\":" + service.equals(MODEL) + ",\"resumable\":" + resumable
                + ",\"itl-target-ms\":250}";
    }

    static String event(long id) {
        return "id: " + id + "\ndata: piece " + id + "\n\n";
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }
}
