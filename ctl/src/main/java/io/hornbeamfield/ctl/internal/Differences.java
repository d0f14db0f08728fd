package io.hornbeamfield.ctl.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/** Computes the differences between two JSON documents, field by field. */
final class Differences {
    /** A field whose values differ; an absent value is shown as {@code -}. */
    record Difference(String path, String from, String to) {}

    private final List<Difference> found = new ArrayList<>();

    private Differences() {}

    static List<Difference> between(JsonNode from, JsonNode to) {
        Differences d = new Differences();
        d.compare("", from, to);
        return d.found;
    }

    private void compare(String path, JsonNode from, JsonNode to) {
        if (from.equals(to)) {
            return;
        }
        if (!from.isObject() || !to.isObject()) {
            found.add(new Difference(path, text(from), text(to)));
            return;
        }
        TreeSet<String> names = new TreeSet<>();
        from.fieldNames().forEachRemaining(names::add);
        to.fieldNames().forEachRemaining(names::add);
        names.forEach(n -> compare(path.isEmpty() ? n : path + "." + n, from.path(n), to.path(n)));
    }

    private static String text(JsonNode node) {
        return node.isMissingNode() ? "-" : node.toString();
    }
}
