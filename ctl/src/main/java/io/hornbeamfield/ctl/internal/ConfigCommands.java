package io.hornbeamfield.ctl.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamfield.core.config.ConfigHead;
import io.hornbeamfield.net.json.Json;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The commands {@code apply}, {@code get} and {@code diff}. */
public final class ConfigCommands {
    private final ConfigStore store;
    private final BudgetStore budgets;

    public ConfigCommands(ConfigStore store, BudgetStore budgets) {
        this.store = store;
        this.budgets = budgets;
    }

    /** Checks a document, merges it into the stored configuration and creates missing budgets. */
    public Output apply(Path file) {
        ConfigDocument document = ConfigDocument.read(file);
        StoredConfig stored = store.load();
        ConfigDraft draft = document.mergedInto(stored);
        store.check(draft);
        ConfigStore.requireValid(BudgetStore.validateIds(
                document.initialGrants().keySet(), draft.workspaces().keySet()));
        long revision = store.commit(stored, draft);
        Map<String, String> created = new TreeMap<>();
        document.initialGrants()
                .forEach((id, grant) -> created.put(id, budgets.create(id, grant) ? "created" : "existed, unchanged"));
        boolean changed = revision != stored.revision();
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("REVISION", "CONFIGURATION"));
        rows.add(List.of(Long.toString(revision), changed ? "changed" : "unchanged"));
        created.forEach((id, what) -> rows.add(List.of("budget " + id, what)));
        return Output.of(Map.of("revision", revision, "changed", changed, "budgets", created), rows);
    }

    /** Shows the stored configuration as a complete document with its revision. */
    public Output get() {
        StoredConfig stored = store.loadExisting();
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("revision", stored.revision());
        stored.head().flatMap(ConfigHead::changeId).ifPresent(id -> json.put("changeId", id));
        json.setAll(completeDocument(stored));
        return Output.ofJson(json);
    }

    /** Shows the fields that applying a document would change. */
    public Output diff(Path file) {
        ConfigDocument document = ConfigDocument.read(file);
        StoredConfig stored = store.load();
        ConfigDraft draft = document.mergedInto(stored);
        store.check(draft);
        List<Differences.Difference> found =
                Differences.between(completeDocument(stored), ConfigDocument.toJson(draft));
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("FIELD", "STORED", "DOCUMENT"));
        found.forEach(d -> rows.add(List.of(d.path(), d.from(), d.to())));
        JsonNode json = Json.tree(Map.of("revision", stored.revision(), "differences", found));
        return new Output(json, rows, found.isEmpty() ? ExitStatus.OK : ExitStatus.DIFFERENCES_FOUND);
    }

    private static ObjectNode completeDocument(StoredConfig stored) {
        return stored.head()
                .map(h -> ConfigDocument.toJson(ConfigDraft.from(h, stored.workspaces())))
                .orElseGet(JsonNodeFactory.instance::objectNode);
    }
}
