/** The control plane of a router: controllers that publish their state on the blackboard. */
@NullMarked
package io.hornbeamfield.router.control;

import org.jspecify.annotations.NullMarked;
