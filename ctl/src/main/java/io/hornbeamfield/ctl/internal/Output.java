package io.hornbeamfield.ctl.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.net.json.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Result of a command: the JSON form and the rows of the table form, header first. */
public record Output(JsonNode json, List<List<String>> rows, int exitStatus) {

    /** Creates the output of a successful command. */
    public static Output of(Object value, List<List<String>> rows) {
        return new Output(Json.tree(value), rows, ExitStatus.OK);
    }

    /** Creates the output of a successful command that is the same JSON in both forms. */
    public static Output ofJson(Object value) {
        return new Output(Json.tree(value), List.of(), ExitStatus.OK);
    }

    /** Returns the text to print. */
    public String text(boolean asTable) {
        return asTable && !rows.isEmpty() ? table() : json.toPrettyString();
    }

    private String table() {
        List<Integer> widths = new ArrayList<>();
        for (List<String> row : rows) {
            for (int i = 0; i < row.size(); i++) {
                if (i == widths.size()) {
                    widths.add(0);
                }
                widths.set(i, Math.max(widths.get(i), row.get(i).length()));
            }
        }
        return rows.stream().map(row -> line(row, widths)).collect(Collectors.joining("\n"));
    }

    private static String line(List<String> row, List<Integer> widths) {
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < row.size(); i++) {
            line.append(row.get(i)).append(" ".repeat(widths.get(i) - row.get(i).length() + 2));
        }
        return line.toString().stripTrailing();
    }
}
