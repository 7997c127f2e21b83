package placer

import "github.com/samphirewick/samphirewick/internal/modeler"

// tree is a treap in which each node also holds the maximum of each resource
// in its subtree, so that a search skips subtrees that cannot fit a need. Node
// priorities are derived from the keys, so the shape depends only on the keys.
// The zero tree is empty; its functions must be set.
type tree[K, V any] struct {
	root      *node[K, V]
	compare   func(left, right K) int
	resources func(V) modeler.Resources
	priority  func(K) uint64
}

type node[K, V any] struct {
	key        K
	value      V
	resources  modeler.Resources
	subtreeMax modeler.Resources
	priority   uint64
	left       *node[K, V]
	right      *node[K, V]
}

func (t *tree[K, V]) insert(key K, value V) {
	fresh := &node[K, V]{key: key, value: value, resources: t.resources(value), priority: t.priority(key)}
	left, right := t.split(t.root, key)
	fresh.update()
	t.root = merge(merge(left, fresh), right)
}

func (t *tree[K, V]) remove(key K) {
	t.root = t.removeFrom(t.root, key)
}

func (t *tree[K, V]) removeFrom(n *node[K, V], key K) *node[K, V] {
	if n == nil {
		return nil
	}
	switch c := t.compare(key, n.key); {
	case c == 0:
		return merge(n.left, n.right)
	case c < 0:
		n.left = t.removeFrom(n.left, key)
	default:
		n.right = t.removeFrom(n.right, key)
	}
	n.update()
	return n
}

// split divides a subtree into the keys below the given key and the others.
func (t *tree[K, V]) split(n *node[K, V], key K) (left, right *node[K, V]) {
	if n == nil {
		return nil, nil
	}
	if t.compare(n.key, key) < 0 {
		n.right, right = t.split(n.right, key)
		n.update()
		return n, right
	}
	left, n.left = t.split(n.left, key)
	n.update()
	return left, n
}

func merge[K, V any](left, right *node[K, V]) *node[K, V] {
	switch {
	case left == nil:
		return right
	case right == nil:
		return left
	case left.priority > right.priority:
		left.right = merge(left.right, right)
		left.update()
		return left
	default:
		right.left = merge(left, right.left)
		right.update()
		return right
	}
}

func (n *node[K, V]) update() {
	n.subtreeMax = n.resources
	for _, child := range []*node[K, V]{n.left, n.right} {
		if child == nil {
			continue
		}
		n.subtreeMax.Processors = max(n.subtreeMax.Processors, child.subtreeMax.Processors)
		n.subtreeMax.Memory = max(n.subtreeMax.Memory, child.subtreeMax.Memory)
		n.subtreeMax.Accelerators = max(n.subtreeMax.Accelerators, child.subtreeMax.Accelerators)
	}
}

// search returns the first value in ascending or descending order that fits the
// need and is allowed. A nil allowed allows every value.
func (t *tree[K, V]) search(need modeler.Resources, descending bool, allowed func(V) bool) (V, bool) {
	if n := find(t.root, need, descending, allowed); n != nil {
		return n.value, true
	}
	var none V
	return none, false
}

func find[K, V any](n *node[K, V], need modeler.Resources, descending bool, allowed func(V) bool) *node[K, V] {
	if n == nil || !need.FitsIn(n.subtreeMax) {
		return nil
	}
	first, second := n.left, n.right
	if descending {
		first, second = second, first
	}
	if found := find(first, need, descending, allowed); found != nil {
		return found
	}
	if need.FitsIn(n.resources) && (allowed == nil || allowed(n.value)) {
		return n
	}
	return find(second, need, descending, allowed)
}
