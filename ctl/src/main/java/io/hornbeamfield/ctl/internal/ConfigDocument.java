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
 * A configuration document, whole or partial. A partial document is merged into the stored configuration by the rules
 * of JSON Merge Patch (RFC 7396): what it names is replaced, {@code null} removes, everything else stays.
 */
public final class ConfigDocument {
    private static final String FIRST_ACTIVE_PRESET = "ordinary";

    private final ObjectNode change;
    private final Map<String, Long> initialGrants = new TreeMap<>();

    private ConfigDocument(ObjectNode change) {
        this.change = change;
    }

    /** Reads a document and checks the shape of what it contains. */
    public static ConfigDocument read(Path file) {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new CtlFailure(
                    ResultCode.MALFORMED_REQUEST,
                    "The file " + file + " cannot be read (" + e + "). Pass an existing, readable file with -f.");
        }
        return parse(bytes, file.toString());
    }

    /** Checks the shape of a document that was read from the named source. */
    public static ConfigDocument parse(byte[] json, String source) {
        JsonNode tree;
        try {
            tree = Json.mapper()
                    .reader()
                    .with(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                    .with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .readTree(json);
        } catch (JsonProcessingException e) {
            throw new CtlFailure(
                    ResultCode.INVALID_CONFIGURATION,
                    source + " is not valid JSON: " + e.getOriginalMessage() + " (line "
                            + (e.getLocation() == null ? 0 : e.getLocation().getLineNr()) + "). Correct the syntax.");
        } catch (IOException e) {
            throw new CtlFailure(ResultCode.INVALID_CONFIGURATION, source + " cannot be read: " + e.getMessage());
        }
        ConfigStore.requireValid(DocumentSchema.checkPart(withoutRemovals(tree)));
        ObjectNode change = ((ObjectNode) tree).deepCopy();
        ConfigDocument document = new ConfigDocument(change);
        JsonNode budgets = change.remove("budgets");
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
        ObjectNode whole = stored.head()
                .map(h -> toJson(ConfigDraft.from(h, stored.workspaces())))
                .orElseGet(() -> JsonNodeFactory.instance
                        .objectNode()
                        .put("activePreset", FIRST_ACTIVE_PRESET)
                        .<ObjectNode>set("workspaces", JsonNodeFactory.instance.objectNode()));
        merge(whole, change);
        ConfigStore.requireValid(DocumentSchema.checkWhole(whole));
        return toDraft(whole);
    }

    /** Returns a draft in the form of a whole document, without budgets. */
    public static ObjectNode toJson(ConfigDraft draft) {
        ObjectNode whole = JsonNodeFactory.instance.objectNode();
        whole.put("activePreset", draft.activePreset());
        whole.set("presets", Json.tree(new TreeMap<>(draft.presets())));
        ObjectNode pools = whole.putObject("pools");
        new TreeMap<>(draft.pools()).forEach((name, pool) -> {
            ObjectNode p = Json.tree(pool).deepCopy();
            p.set("servers", Json.tree(new TreeMap<>(pool.servers())));
            pools.set(name, p);
        });
        ObjectNode workspaces = whole.putObject("workspaces");
        new TreeMap<>(draft.workspaces()).forEach((name, w) -> {
            ObjectNode form = workspaces.putObject(name);
            form.set("keyHashes", Json.tree(w.keyHashes()));
            form.set("priority", Json.tree(w.priority()));
            w.allotmentHorizonSeconds().ifPresent(h -> form.put("allotmentHorizonSeconds", h));
        });
        whole.put("weightStoreLoadsPerMinute", draft.weightStoreLoadsPerMinute());
        return whole;
    }

    private static ConfigDraft toDraft(JsonNode whole) {
        Map<String, Preset> presets = new TreeMap<>();
        whole.path("presets").fields().forEachRemaining(e -> presets.put(e.getKey(), read(e, Preset.class)));
        Map<String, Pool> pools = new TreeMap<>();
        whole.path("pools").fields().forEachRemaining(e -> pools.put(e.getKey(), read(e, Pool.class)));
        Map<String, Workspace> workspaces = new TreeMap<>();
        whole.path("workspaces").fields().forEachRemaining(e -> {
            ObjectNode named = ((ObjectNode) e.getValue()).deepCopy().put("name", e.getKey());
            workspaces.put(e.getKey(), Json.read(named, Workspace.class));
        });
        return new ConfigDraft(
                whole.path("activePreset").asText(),
                presets,
                pools,
                workspaces,
                whole.path("weightStoreLoadsPerMinute").intValue());
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

    /** Removals carry no value whose type could be checked. */
    private static JsonNode withoutRemovals(JsonNode tree) {
        JsonNode copy = tree.deepCopy();
        for (String section : new String[] {"presets", "pools", "workspaces"}) {
            dropNulls(copy.path(section));
        }
        copy.path("pools").forEach(pool -> dropNulls(pool.path("servers")));
        copy.path("workspaces").forEach(w -> {
            if (w instanceof ObjectNode o && o.path("allotmentHorizonSeconds").isNull()) {
                o.remove("allotmentHorizonSeconds");
            }
        });
        return copy;
    }

    private static void dropNulls(JsonNode node) {
        for (Iterator<JsonNode> i = node.elements(); i.hasNext(); ) {
            if (i.next().isNull() && node.isObject()) {
                i.remove();
            }
        }
    }
}
