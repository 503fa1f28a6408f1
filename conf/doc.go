// Package conf decodes, validates and compares the JSON formats of monsoonferry:
// the settings of a process, the inventory that operators publish and the
// manifest that splits an inventory into parts.
//
// # Concept
//
// Validation is a pure function of the content, so all VMs accept or reject the
// same versions. Decoding reports all problems at once, each with the JSON path of
// the field. Codec types are private to this package and are mapped to the domain
// types of package ferry by hand.
//
// A manifest names its parts by their SHA-256 digest. Parts are therefore
// immutable: the parts of two versions published in quick succession never mix.
//
// # Usage
//
//	inventory, err := conf.ParseInventory(text)
//	var problems conf.ProblemsError
//	if errors.As(err, &problems) {
//		for _, problem := range problems {
//			fmt.Println(problem.Path, problem.Text)
//		}
//	}
package conf
