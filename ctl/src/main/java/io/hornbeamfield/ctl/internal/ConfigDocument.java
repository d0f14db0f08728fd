package io.hornbeamfield.ctl.internal;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamfield.core.config.Pool;
import io.hornbeamfield.core.config.Preset;
import io.hornbeamfield.core.config.Workspace;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.net.json.Json;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;

/**
 * A configuration document, complete or partial. A partial document is merged into the stored configuration by the
 * rules of JSON Merge Patch (RFC 7396): a field that is present replaces the stored one, {@code null} removes it, all
 * other fields are kept.
 */
public final class ConfigDocument {
    private static final String DEFAULT_ACTIVE_PRESET = "ordinary";

    private final ObjectNode patch;
    private final Map<String, Long> initialGrants = new TreeMap<>();

    private ConfigDocument(ObjectNode patch) {
        this.patch = patch;
    }

    /** Reads a document from a file and checks its shape. */
    public static ConfigDocument read(Path file) {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new CommandException(
                    ResultCode.MALFORMED_REQUEST,
                    "The file " + file + " cannot be read (" + e + "). Pass an existing, readable file with -f.");
        }
        return parse(bytes, file.toString());
    }

    /** Parses a document and checks its shape; errors name the source. */
    public static ConfigDocument parse(byte[] json, String source) {
        JsonNode tree;
        try {
            tree = Json.mapper()
                    .reader()
                    .with(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                    .with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .readTree(json);
        } catch (JsonProcessingException e) {
            throw new CommandException(
                    ResultCode.INVALID_CONFIGURATION,
                    source + " is not valid JSON: " + e.getOriginalMessage() + " (line "
                            + (e.getLocation() == null ? 0 : e.getLocation().getLineNr()) + "). Correct the syntax.");
        } catch (IOException e) {
            throw new CommandException(ResultCode.INVALID_CONFIGURATION, source + " cannot be read: " + e.getMessage());
        }
        ConfigStore.requireValid(DocumentSchema.checkPartial(withoutNullEntries(tree)));
        ObjectNode patch = ((ObjectNode) tree).deepCopy();
        ConfigDocument document = new ConfigDocument(patch);
        JsonNode budgets = patch.remove("budgets");
        if (budgets != null) {
            budgets.fields()
                    .forEachRemaining(b -> document.initialGrants.put(
                            b.getKey(), b.getValue().path("initialGrant").longValue()));
        }
        return document;
    }

    /** Returns the initial grants by budget id. */
    public Map<String, Long> initialGrants() {
        return initialGrants;
    }

    /** Returns the stored configuration with this document merged into it. */
    public ConfigDraft mergedInto(StoredConfig stored) {
        ObjectNode complete = stored.head()
                .map(h -> toJson(ConfigDraft.from(h, stored.workspaces())))
                .orElseGet(() -> JsonNodeFactory.instance
                        .objectNode()
                        .put("activePreset", DEFAULT_ACTIVE_PRESET)
                        .<ObjectNode>set("workspaces", JsonNodeFactory.instance.objectNode()));
        merge(complete, patch);
        ConfigStore.requireValid(DocumentSchema.checkComplete(complete));
        return toDraft(complete);
    }

    /** Returns a draft as a complete document, without budgets. */
    public static ObjectNode toJson(ConfigDraft draft) {
        ObjectNode complete = JsonNodeFactory.instance.objectNode();
        complete.put("activePreset", draft.activePreset());
        complete.set("presets", Json.tree(new TreeMap<>(draft.presets())));
        ObjectNode pools = complete.putObject("pools");
        new TreeMap<>(draft.pools()).forEach((name, pool) -> {
            ObjectNode p = Json.tree(pool).deepCopy();
            p.set("servers", Json.tree(new TreeMap<>(pool.servers())));
            pools.set(name, p);
        });
        ObjectNode workspaces = complete.putObject("workspaces");
        new TreeMap<>(draft.workspaces()).forEach((name, w) -> {
            ObjectNode entry = workspaces.putObject(name);
            entry.set("keyHashes", Json.tree(w.keyHashes()));
            entry.set("priority", Json.tree(w.priority()));
            w.allotmentHorizonSeconds().ifPresent(h -> entry.put("allotmentHorizonSeconds", h));
        });
        complete.put("weightStoreLoadsPerMinute", draft.weightStoreLoadsPerMinute());
        return complete;
    }

    private static ConfigDraft toDraft(JsonNode complete) {
        Map<String, Preset> presets = new TreeMap<>();
        complete.path("presets").fields().forEachRemaining(e -> presets.put(e.getKey(), read(e, Preset.class)));
        Map<String, Pool> pools = new TreeMap<>();
        complete.path("pools").fields().forEachRemaining(e -> pools.put(e.getKey(), read(e, Pool.class)));
        Map<String, Workspace> workspaces = new TreeMap<>();
        complete.path("workspaces").fields().forEachRemaining(e -> {
            ObjectNode named = ((ObjectNode) e.getValue()).deepCopy().put("name", e.getKey());
            workspaces.put(e.getKey(), Json.read(named, Workspace.class));
        });
        return new ConfigDraft(
                complete.path("activePreset").asText(),
                presets,
                pools,
                workspaces,
                complete.path("weightStoreLoadsPerMinute").intValue());
    }

    private static <T> T read(Map.Entry<String, JsonNode> entry, Class<T> type) {
        return Json.read(entry.getValue(), type);
    }

    private static void merge(ObjectNode target, ObjectNode patch) {
        patch.fields().forEachRemaining(field -> {
            JsonNode value = field.getValue();
            if (value.isNull()) {
                target.remove(field.getKey());
            } else if (value instanceof ObjectNode objectPatch) {
                JsonNode old = target.get(field.getKey());
                ObjectNode merged = old instanceof ObjectNode o ? o : target.putObject(field.getKey());
                merge(merged, objectPatch);
            } else {
                target.set(field.getKey(), value);
            }
        });
    }

    /** Returns a copy without the null entries, which mark removals and have no value whose shape could be checked. */
    private static JsonNode withoutNullEntries(JsonNode tree) {
        JsonNode copy = tree.deepCopy();
        for (String section : new String[] {"presets", "pools", "workspaces"}) {
            removeNullEntries(copy.path(section));
        }
        copy.path("pools").forEach(pool -> removeNullEntries(pool.path("servers")));
        copy.path("workspaces").forEach(w -> {
            if (w instanceof ObjectNode o && o.path("allotmentHorizonSeconds").isNull()) {
                o.remove("allotmentHorizonSeconds");
            }
        });
        return copy;
    }

    private static void removeNullEntries(JsonNode node) {
        for (Iterator<JsonNode> i = node.elements(); i.hasNext(); ) {
            if (i.next().isNull() && node.isObject()) {
                i.remove();
            }
        }
    }
}
