package check

import (
	"fmt"
	"reflect"
	"strings"

	"teaselplank/fleet"
)

// changes returns the entries that differ between two configurations, in the order of the new
// one, and then those that are gone.
func changes(old, updated fleet.Config) []Change {
	var list []Change
	if old.Version != updated.Version {
		list = append(list, Change{"version", fmt.Sprintf("%d, was %d", updated.Version, old.Version)})
	}
	list = append(list, compare("route", old.Routes, updated.Routes, func(r fleet.Route) string { return r.Name })...)
	list = append(list, compare("service", old.Services, updated.Services, func(s fleet.Service) string { return s.Name })...)
	list = append(list, compare("account", old.Accounts, updated.Accounts, func(a fleet.Account) string { return a.Name })...)
	if text := fieldChanges(old.Limits, updated.Limits); text != "" {
		list = append(list, Change{"limits", text})
	}
	return list
}

// compare compares entries of one kind by their names.
func compare[T any](kind string, old, updated []T, name func(T) string) []Change {
	before := make(map[string]T, len(old))
	for _, e := range old {
		before[name(e)] = e
	}
	var list []Change
	seen := make(map[string]bool, len(updated))
	for _, e := range updated {
		entry := fmt.Sprintf("%s %q", kind, name(e))
		seen[name(e)] = true
		earlier, ok := before[name(e)]
		if !ok {
			list = append(list, Change{entry, "added"})
		} else if text := fieldChanges(earlier, e); text != "" {
			list = append(list, Change{entry, text})
		}
	}
	for _, e := range old {
		if !seen[name(e)] {
			list = append(list, Change{fmt.Sprintf("%s %q", kind, name(e)), "removed"})
			seen[name(e)] = true
		}
	}
	return list
}

// fieldChanges describes the fields of two entries that differ.
func fieldChanges(old, updated any) string {
	a, b := reflect.ValueOf(old), reflect.ValueOf(updated)
	var texts []string
	for i := range a.NumField() {
		before, after := a.Field(i).Interface(), b.Field(i).Interface()
		if !reflect.DeepEqual(before, after) {
			texts = append(texts, fieldChange(a.Type().Field(i).Name, before, after))
		}
	}
	return strings.Join(texts, "; ")
}

// fieldChange describes a field that differs. API keys are secret: only their number is given.
func fieldChange(field string, before, after any) string {
	name := strings.ToLower(field[:1]) + field[1:]
	if keys, ok := before.([]string); ok {
		return fmt.Sprintf("%s differ: %d, were %d", name, reflect.ValueOf(after).Len(), len(keys))
	}
	return fmt.Sprintf("%s %s, was %s", name, show(after), show(before))
}

// show formats a value and what it points to.
func show(value any) string {
	v := reflect.ValueOf(value)
	if v.Kind() != reflect.Pointer {
		return fmt.Sprintf("%+v", value)
	}
	if v.IsNil() {
		return "none"
	}
	return fmt.Sprintf("%+v", v.Elem().Interface())
}
