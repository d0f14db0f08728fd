package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.config.PoolKind;
import io.hornbeamfield.core.routing.BackendChooser;
import io.hornbeamfield.core.routing.BackendRequest;
import io.hornbeamfield.core.routing.BackendView;
import io.hornbeamfield.core.routing.PrefixIndex;
import io.hornbeamfield.router.BackendLoad;
import io.hornbeamfield.router.Blackboard;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Selects the backend server for an attempt from the pools that can run the work. Models and plain services have
 * separate choosers, because service calls have no prompt prefix, by which idle engines are told apart.
 */
record ServerSelector(
        Blackboard board, BackendLoad load, BackendChooser models, BackendChooser services, PrefixIndex prefixes) {

    /** Returns the best server for the work. Servers already tried are considered only when there is no other. */
    Optional<BackendView> select(Work work, Set<String> tried) {
        List<BackendView> candidates =
                pools(work).stream().flatMap(p -> load.candidates(p).stream()).toList();
        BackendRequest request = work instanceof Work.Model m
                ? BackendRequest.forModel(m.model(), m.prefixes())
                : BackendRequest.forService();
        BackendChooser chooser = work instanceof Work.Model ? models : services;
        Optional<BackendView> choice = chooser.choose(request.excluding(tried), candidates);
        return choice.isPresent() || tried.isEmpty() ? choice : chooser.choose(request, candidates);
    }

    /** Records that the work was sent to a server. */
    void recordSent(Work work, BackendView server) {
        load.sent(server.id());
        if (work instanceof Work.Model m) {
            prefixes.sent(server.id(), m.prefixes());
        }
    }

    /** Returns whether a pool serves the model. */
    boolean knowsModel(String model) {
        return !modelPools(model).isEmpty();
    }

    private List<String> pools(Work work) {
        return work instanceof Work.Model m ? modelPools(m.model()) : List.of(((Work.Service) work).pool());
    }

    private List<String> modelPools(String model) {
        return board.config().stream()
                .flatMap(c -> c.head().pools().entrySet().stream())
                .filter(e -> e.getValue().kind() == PoolKind.MODEL
                        && e.getValue().models().contains(model))
                .map(java.util.Map.Entry::getKey)
                .sorted()
                .toList();
    }
}
